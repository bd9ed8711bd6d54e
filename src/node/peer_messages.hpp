#pragma once

#include "base/error.hpp"
#include "base/names.hpp"
#include "billing/bill_buffer.hpp"
#include "cascade/sufficiency.hpp"
#include "claim/claim_record.hpp"
#include "config/follow.hpp"
#include "limits/team_limiter.hpp"
#include "membership/upstream_table.hpp"
#include "membership/vm_table.hpp"
#include "node/messages.hpp"
#include "rollout/evidence.hpp"
#include "routing/replica_pool.hpp"
#include "session/ticket.hpp"

#include <string>
#include <variant>
#include <vector>

// Typed messages in the frames between VMs, and their encoding.
//
//   json_ptr body = encode_peer_message(heartbeat_message{...});
//   expected<heartbeat_message> m = decode_heartbeat(*frame.body);
//
// Bodies are JSON arrays in a fixed order, which MessagePack keeps short. A decoder accepts longer
// arrays, so that a later version can append fields.

namespace wagtailhitch {

enum class peer_message_kind {
    heartbeat,
    ended,
    log_request,
    log_records,
    snapshot,
    bill_copy,
    bill_ack,
    bill_done,
    claim_submit,
    ticket_forward,
    ticket_answer,
    limit_request,
    limit_grant,
};

template<>
inline constexpr auto enum_names<peer_message_kind> = name_table<peer_message_kind, 13>{{
    {peer_message_kind::heartbeat, "heartbeat"},
    {peer_message_kind::ended, "ended"},
    {peer_message_kind::log_request, "log_request"},
    {peer_message_kind::log_records, "log_records"},
    {peer_message_kind::snapshot, "snapshot"},
    {peer_message_kind::bill_copy, "bill_copy"},
    {peer_message_kind::bill_ack, "bill_ack"},
    {peer_message_kind::bill_done, "bill_done"},
    {peer_message_kind::claim_submit, "claim_submit"},
    {peer_message_kind::ticket_forward, "ticket_forward"},
    {peer_message_kind::ticket_answer, "ticket_answer"},
    {peer_message_kind::limit_request, "limit_request"},
    {peer_message_kind::limit_grant, "limit_grant"},
}};

/// The sender's view of its failure domain and the changes since its last heartbeat. A summary to
/// another domain carries the members and the configuration state only.
struct heartbeat_message {
    std::vector<vm_gossip> members;
    std::vector<upstream_report> upstreams;
    std::vector<replica_statistics> shares;
    std::vector<sufficiency_cell> ratings;
    std::vector<evidence_entry> evidence; ///< of versions that are rolling out and their baselines
    revision in_force{0};
    std::optional<duration> confirmed_age;
    bool ready{false};
};

/// The sender has removed the receiver's incarnation; the receiver continues under a new one.
struct ended_message {
    incarnation run{0};
};

struct log_request_message {
    std::string stream;
    records_request request;
};

struct log_records_message {
    std::string stream;
    records_message records;
};

/// The whole configuration state, as the records of encode_snapshot().
struct snapshot_message {
    std::vector<std::string> records;
    std::optional<std::uint64_t> correlation_id;
};

struct bill_copy_message {
    std::uint64_t id{0};
    std::string data;
};

struct bill_ack_message {
    std::uint64_t id{0};
};

struct bill_done_message {
    std::uint64_t id{0};
    std::vector<std::uint64_t> sequences;
};

struct claim_submit_message {
    std::string data; ///< encode_claim_batch
};

/// A service call whose ticket names the receiver.
struct ticket_forward_message {
    std::uint64_t call{0}; ///< of the sender; returned with the answer
    std::string ticket;
    std::string team;
    std::string service;
    std::string name;
    std::string payload;
    std::string content_type;
    duration time_left{};
};

struct ticket_answer_message {
    std::uint64_t call{0};
    std::optional<error> failure;
    ticket_answer_record answer;
};

struct limit_request_message {
    std::vector<share_request> requests;
};

struct limit_grant_message {
    std::vector<share_grant> grants;
};

json_ptr encode_peer_message(const heartbeat_message& message);
json_ptr encode_peer_message(const ended_message& message);
json_ptr encode_peer_message(const log_request_message& message);
json_ptr encode_peer_message(const log_records_message& message);
json_ptr encode_peer_message(const snapshot_message& message);
json_ptr encode_peer_message(const bill_copy_message& message);
json_ptr encode_peer_message(const bill_ack_message& message);
json_ptr encode_peer_message(const bill_done_message& message);
json_ptr encode_peer_message(const claim_submit_message& message);
json_ptr encode_peer_message(const ticket_forward_message& message);
json_ptr encode_peer_message(const ticket_answer_message& message);
json_ptr encode_peer_message(const limit_request_message& message);
json_ptr encode_peer_message(const limit_grant_message& message);

using peer_message =
    std::variant<heartbeat_message, ended_message, log_request_message, log_records_message,
                 snapshot_message, bill_copy_message, bill_ack_message, bill_done_message,
                 claim_submit_message, ticket_forward_message, ticket_answer_message,
                 limit_request_message, limit_grant_message>;

peer_message_kind kind_of(const peer_message& message);

/// Errors: malformed_request at step peer when the kind is unknown or the body does not fit it.
expected<peer_message> decode_peer_message(const peer_frame& frame);

} // namespace wagtailhitch
