#pragma once

#include "base/clock.hpp"
#include "lease/lease_record.hpp"
#include "lease/lease_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Acquires, renews and releases one VM's lease on one duty. A duty is a role, named by a string,
// that at most one VM performs at a time.
//
//   lease_elector elector{"rollout", self, settings};
//   if (auto record = elector.tick(table, members, now)) { append it; the reply is not needed }
//   elector.on_record(offset, record, table.apply(offset, record), now);  // all records
//   if (auto fencing = elector.authority(clock())) { perform the duty at once }

namespace wagtailhitch {

struct lease_settings {
    duration term{6s};
    duration margin{1s};
    double drift{0.01}; ///< allowance for clocks that run at different rates
    duration renew_interval{2s};
    duration append_retry_interval{2s};   ///< for an acquire or release that was not read back
    duration contender_delay_step{500ms}; ///< a contender of rank n waits n times this longer
    std::size_t maximum_rank{4};
};

class lease_elector {
public:
    lease_elector(std::string duty, process_id self, lease_settings settings);

    /// Returns the record to append now, if any. `candidates` are the live VMs that may hold the
    /// duty; this VM contends only while it is among them. The caller reads the clock immediately
    /// before the call and appends the record afterwards, because authority counts from `now`.
    std::optional<lease_record> tick(const lease_table& table, const std::vector<vm_id>& candidates,
                                     time_point now);

    /// Handles a record that was applied to the table; records of other duties are ignored.
    /// Authority is extended only here, never by the reply to an append, because a reply can be
    /// lost.
    void on_record(log_offset offset, const lease_record& record, lease_verdict verdict,
                   time_point now);

    /// Resigns the duty: authority ends immediately, and the next tick appends a release.
    void resign();
    /// Contends again after resign().
    void resume();

    /// Returns the fencing number while this process may perform the duty, else nothing. Check it
    /// immediately before each send.
    [[nodiscard]] std::optional<fencing_number> authority(time_point now) const;
    [[nodiscard]] time_point authority_until() const { return authority_until_; }
    /// Returns whether this process held the lease and has lost it to another process, or its
    /// authority has expired.
    [[nodiscard]] bool lost(time_point now) const;
    [[nodiscard]] const std::string& duty() const { return duty_; }

private:
    std::optional<lease_record> holder_step(const lease_state& lease, log_offset applied_up_to,
                                            time_point now);
    std::optional<lease_record>
    contender_step(const lease_table& table, const std::vector<vm_id>& candidates, time_point now);
    lease_record make_record(lease_operation operation, log_offset applied_up_to,
                             fencing_number fencing, time_point now);
    [[nodiscard]] std::optional<std::size_t> rank(const std::vector<vm_id>& candidates) const;

    std::string duty_;
    process_id self_;
    lease_settings settings_;
    std::uint64_t next_nonce_{1};
    std::map<std::uint64_t, time_point> sent_; // nonce -> clock reading before sending
    // When this VM read the duty's latest accepted or undetermined record, or began to read.
    std::optional<time_point> latest_read_;
    log_offset table_start_{0};
    time_point next_append_{};
    time_point authority_until_{};
    fencing_number fencing_{0};
    bool held_{false};
    bool resigning_{false};
};

} // namespace wagtailhitch
