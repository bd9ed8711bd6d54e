#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "config/document.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

// State of all roll-outs, computed by replaying the log stream `rollout`.
//
//   rollout_fold fold;
//   fold.apply(offset, data);
//   auto share = fold.exposed_basis_points(version, spec);           // 0 to 10000
//
// A step and a halt with the same number give the same result in either order. A halt is final: a
// corrected build needs a new version name.

namespace wagtailhitch {

inline constexpr std::string_view rollout_stream = "rollout";

/// All sessions or requests. Shares are given in 1/10000.
inline constexpr std::uint32_t full_share = 10000;

enum class rollout_record_kind { step, halt };

template<>
inline constexpr auto enum_names<rollout_record_kind> = name_table<rollout_record_kind, 2>{{
    {rollout_record_kind::step, "step"},
    {rollout_record_kind::halt, "halt"},
}};

/// Step n exposes the version to the share of the n-th declared stage, counted from 1; step 0
/// exposes it to no traffic.
struct rollout_record {
    rollout_record_kind kind{rollout_record_kind::step};
    version_id version;
    std::uint32_t step{0};
    log_offset fencing{0}; ///< for steps: log offset at which the lease was acquired
    std::string reason;    ///< for halts: the evidence, for operators
    vm_id by;

    friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

std::string encode_rollout_record(const rollout_record& record);
/// Errors: config_invalid.
expected<rollout_record> decode_rollout_record(std::string_view data);

struct rollout_progress {
    std::uint32_t step{0};
    bool halted{false};
    std::string halt_reason;
    vm_id halted_by;
    log_offset changed_at{0}; ///< offset of the record that set this state
};

enum class rollout_effect { stepped, halted, ignored_stale_holder, ignored_old_step, ignored };

class rollout_fold {
public:
    rollout_effect apply(log_offset offset, std::string_view data);

    [[nodiscard]] const rollout_progress* find(const version_id& version) const;
    /// Returns the share of traffic that may use a version declared as `spec`. Settled versions
    /// have the full share, halted and withdrawn versions have none.
    [[nodiscard]] std::uint32_t exposed_basis_points(const version_id& version,
                                                     const version_spec& spec) const;
    [[nodiscard]] log_offset next_offset() const { return next_; }
    [[nodiscard]] const std::map<version_id, rollout_progress>& all() const { return progress_; }

private:
    std::map<version_id, rollout_progress> progress_;
    log_offset highest_fencing_{0};
    log_offset next_{0};
};

} // namespace wagtailhitch
