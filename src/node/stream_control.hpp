#pragma once

#include "claim/claim_batcher.hpp"
#include "lease/lease_elector.hpp"
#include "limits/share_allocator.hpp"
#include "node/core_state.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

// Follows the log streams for leases, claims and roll-outs, applies their records, and performs the
// duties whose leases this VM holds.
//
//   streams.on_log(batch, now, out);
//   streams.on_records(from, message, now, out);
//   streams.tick(now, out);

namespace wagtailhitch {

/// Duties of the whole deployment, and of one failure domain.
enum class duty { config_snapshot, rollout, limit_shares, claim_writer };

template<>
inline constexpr auto enum_names<duty> = name_table<duty, 4>{{
    {duty::config_snapshot, "config-snapshot"},
    {duty::rollout, "rollout"},
    {duty::limit_shares, "limit-shares"},
    {duty::claim_writer, "claim-writer"},
}};

/// Callbacks to the request handlers.
struct stream_hooks {
    /// Runs after the claim table or its confirmation changed.
    std::function<void(time_point, std::vector<output>&)> on_claims;
    /// Whether a request of this process still waits for its claim.
    std::function<bool(const request_id&)> is_waiting_for_claim;
};

class stream_control {
public:
    stream_control(core_state& state, stream_hooks hooks);

    void on_log(const log_batch& batch, time_point now, std::vector<output>& out);
    void on_request(const vm_id& from, const log_request_message& message, time_point now,
                    std::vector<output>& out);
    void on_records(const vm_id& from, const log_records_message& message, time_point now,
                    std::vector<output>& out);
    void on_claim_submit(const claim_submit_message& message);
    void on_limit_request(const limit_request_message& message, time_point now);
    void on_configuration(time_point now);
    void tick(time_point now, std::vector<output>& out);
    /// Releases all leases for a graceful shutdown.
    void resign_duties();

    [[nodiscard]] const std::map<duty, lease_elector>& electors() const { return electors_; }
    /// Name of a duty's lease; duties of a failure domain carry its name.
    [[nodiscard]] std::string lease_name(duty which) const;

private:
    stream_relay* relay_of(const std::string& stream);
    void fold(const stream_relay& relay, const relay_update& update, time_point now,
              std::vector<output>& out);
    void apply_lease(const log_record& record, time_point now);
    void apply_claims(const log_record& record, time_point now);
    void carry_out(const std::string& stream, std::vector<relay_output>& steps,
                   std::vector<output>& out);
    void update_topology(std::vector<output>& out);
    [[nodiscard]] std::vector<vm_id> candidates(duty which) const;
    void run_elections(time_point now, std::vector<output>& out);
    void write_claims(time_point now, std::vector<output>& out);
    void write_snapshot(time_point now, std::vector<output>& out);
    void share_limits(time_point now, std::vector<output>& out);

    core_state& state_;
    stream_hooks hooks_;
    std::map<duty, lease_elector> electors_;
    claim_writer writer_;
    vm_id last_writer_;
    share_allocator allocator_;
    fencing_number allocator_fencing_{0};
    time_point next_limit_report_;
    time_point next_snapshot_;
};

} // namespace wagtailhitch
