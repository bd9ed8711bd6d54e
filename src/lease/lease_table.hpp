#pragma once

#include "lease/lease_record.hpp"

#include <map>
#include <optional>
#include <string>

// The leases that result from applying the stream `leases` in order. Records take effect by
// compare-and-swap in log order, without clocks.
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

/// Result of applying a record. undetermined: it depends on records from before the start of the
/// table.
enum class lease_verdict { accepted, rejected, undetermined };

template<>
inline constexpr auto enum_names<lease_verdict> = name_table<lease_verdict, 3>{{
    {lease_verdict::accepted, "accepted"},
    {lease_verdict::rejected, "rejected"},
    {lease_verdict::undetermined, "undetermined"},
}};

class lease_table {
public:
    /// Starts, or restarts after records expired unread, at the offset `oldest` without any lease.
    /// Leases acquired before are learned from the renewals that follow.
    void start(log_offset oldest);

    /// Accepts the record if no record of its duty was accepted at or after its `applied_up_to`;
    /// a renew or release is accepted only from the holder. Offsets below next_offset() are
    /// rejected.
    lease_verdict apply(log_offset offset, const lease_record& record);

    /// Returns null if the duty was never held or its state is undetermined.
    [[nodiscard]] const lease_state* find(const std::string& duty) const;
    /// Returns whether no process can have authority, because the duty was released, or never held
    /// since offset 0.
    [[nodiscard]] bool vacant(const std::string& duty) const;
    [[nodiscard]] log_offset next_offset() const { return next_; }
    [[nodiscard]] log_offset started_at() const { return start_; }

private:
    struct duty_state {
        std::optional<lease_state> lease;
        // A record whose `applied_up_to` is below this offset depends on records that this table
        // has not read, or on other undetermined records.
        log_offset undetermined_below{0};
    };

    static lease_verdict decide(const duty_state& duty, const lease_record& record);

    log_offset start_{0};
    log_offset next_{0};
    std::map<std::string, duty_state> duties_;
};

} // namespace wagtailhitch
