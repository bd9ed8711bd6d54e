#pragma once

#include "base/metrics.hpp"
#include "billing/bill_buffer.hpp"
#include "cascade/cascade_policy.hpp"
#include "claim/claim_batcher.hpp"
#include "claim/claim_table.hpp"
#include "config/follow.hpp"
#include "lease/lease_table.hpp"
#include "limits/team_limiter.hpp"
#include "membership/upstream_table.hpp"
#include "membership/vm_table.hpp"
#include "node/core_settings.hpp"
#include "node/messages.hpp"
#include "node/peer_messages.hpp"
#include "node/stream_relay.hpp"
#include "retry/retry_policy.hpp"
#include "rollout/evidence.hpp"
#include "rollout/rollout.hpp"
#include "routing/link_budget.hpp"
#include "routing/prefix_index.hpp"
#include "routing/replica_chooser.hpp"
#include "routing/replica_pool.hpp"
#include "session/session_policy.hpp"
#include "session/ticket.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

// State shared by the components of node_core and the request handlers of one VM. Accessed only on
// the decision thread.

namespace wagtailhitch {

/// Called with the outcome of an append.
using append_callback =
    std::function<void(const expected<log_offset>&, time_point, std::vector<output>&)>;

struct core_state {
    core_state(core_settings core, metrics& registry, time_point now);
    core_state(const core_state&) = delete;
    core_state& operator=(const core_state&) = delete;

    core_settings settings;
    metrics& counters;
    std::mt19937_64 generator;

    vm_table vms;
    upstream_table upstreams;
    config_follower configuration;
    std::shared_ptr<const document> doc; ///< in force; replaced with each accepted change
    std::map<std::string, team_id> teams_by_token;

    stream_relay lease_records;
    stream_relay claim_records;
    stream_relay rollout_records;
    lease_table leases;
    claim_table claims;
    rollout_fold rollouts;
    evidence_pool evidence;
    std::map<version_id, version_counts> own_evidence;

    claim_outbox claim_items;
    bill_buffer bills;
    ticket_table tickets;

    session_policy sessions;
    team_limiter limiter;
    replica_pool pool;
    replica_chooser chooser;
    prefix_index prefixes;
    link_budget link;
    retry_policy retries;
    retry_budget retry_credit;
    cascade_policy cascade;
    sufficiency_table sufficiency;

    bool stopping{false};
    std::uint64_t next_request{1};

    [[nodiscard]] const process_id& self() const { return vms.self(); }
    /// Age of the configuration, for the session policy.
    [[nodiscard]] configuration_age age(time_point now) const;
    [[nodiscard]] bool ready() const;
    /// Returns a request id that is unique across all processes.
    request_id new_request_id();
    /// Appends to the log, in base 64 except for the stream `config`; `done` runs when the outcome
    /// is known, and never if it is lost.
    void append(std::string_view stream, std::vector<std::string> records, append_callback done,
                std::vector<output>& out);
    void on_append_result(const append_result& result, time_point now, std::vector<output>& out);
    /// Sends a typed message to a VM; without a known address it is dropped and counted.
    template<typename Message>
    void send(const vm_id& to, peer_message_kind kind, const Message& message,
              std::vector<output>& out)
    {
        post(to, kind, encode_peer_message(message), out);
    }

private:
    append_id next_append_{1};
    std::map<append_id, append_callback> appends_;

    void post(const vm_id& to, peer_message_kind kind, json_ptr body, std::vector<output>& out);
};

} // namespace wagtailhitch
