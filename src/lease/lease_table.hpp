#pragma once

#include "lease/lease_record.hpp"

#include <map>
#include <optional>
#include <string>

// The fold of the stream `leases`: compare-and-swap by log order, without clocks.
//
//   table.start(batch.oldest);
//   lease_verdict verdict = table.apply(record.offset, *decode_lease_record(record.data));
//   const lease_state* state = table.find("rollout");

namespace wagtailhitch {

struct lease_state {
    process_id holder;
    fencing_number fencing{0};
    log_offset latest{0}; ///< offset of the latest accepted record
    bool released{false};

    friend bool operator==(const lease_state&, const lease_state&) = default;
};

/// undetermined: the verdict depends on records from before the fold began.
enum class lease_verdict { accepted, rejected, undetermined };

template<>
inline constexpr auto enum_names<lease_verdict> = name_table<lease_verdict, 3>{{
    {lease_verdict::accepted, "accepted"},
    {lease_verdict::rejected, "rejected"},
    {lease_verdict::undetermined, "undetermined"},
}};

class lease_table {
public:
    /// The fold begins at `oldest`, or begins again there after records expired unread. Duties held
    /// before are learned from the renewals that follow.
    void start(log_offset oldest);

    /// Accepts the record if no record of its duty was accepted at or after `folded_to`, and a
    /// renew or release only from the holder. Offsets below next_offset() are rejected.
    lease_verdict apply(log_offset offset, const lease_record& record);

    /// Nothing while the duty was never held, or its state is undetermined.
    [[nodiscard]] const lease_state* find(const std::string& duty) const;
    /// Nobody can have authority: the duty was released, or never held since offset 0.
    [[nodiscard]] bool vacant(const std::string& duty) const;
    [[nodiscard]] log_offset next_offset() const { return next_; }
    [[nodiscard]] log_offset started_at() const { return start_; }

private:
    struct duty_state {
        std::optional<lease_state> lease;
        // A record written by a VM that had folded less than this depends on records that this
        // fold does not know, or on other undetermined records.
        log_offset undetermined_below{0};
    };

    static lease_verdict decide(const duty_state& duty, const lease_record& record);

    log_offset start_{0};
    log_offset next_{0};
    std::map<std::string, duty_state> duties_;
};

} // namespace wagtailhitch
