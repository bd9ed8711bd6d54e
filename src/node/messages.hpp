#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Messages between the decision thread and the I/O threads.
//
//   input in = attempt_chunk{attempt, 3, "Cuenca"};
//   core.handle(in, clock(), outputs);
//   for (const output& out : outputs) { std::visit(dispatcher, out); }
//
// Inputs are events observed by I/O threads; outputs are instructions to them.

namespace wagtailhitch {

using json_ptr = std::shared_ptr<const nlohmann::json>;

/// Identifies the current request of a caller connection; unique within the process.
using caller_token = std::uint64_t;

/// Identifies an append to the log; unique within the process.
using append_id = std::uint64_t;

// ---- from the callers thread

enum class caller_request_kind { chat, service_call, issue_ticket };

/// A request whose syntax and sizes have been checked, but which is not authenticated yet.
struct caller_request {
    caller_token caller{0};
    caller_request_kind kind{caller_request_kind::chat};
    std::string bearer_token;
    std::string model; ///< the caller's `model` field: a route or a model
    bool stream{false};
    json_ptr body;                  ///< chat body; its `model` field is replaced for the upstream
    std::uint32_t prompt_tokens{0}; ///< estimate: prompt bytes / 4
    std::uint32_t max_tokens{0};    ///< 0 if the caller sets none
    /// Chained hashes of the prompt's 1 KiB blocks, for prefix affinity; `front()` covers the
    /// first.
    std::vector<std::uint64_t> prefix_hashes;
    std::string service; ///< service calls: the declared service and call
    std::string call;
    std::string payload; ///< service calls: the body as received
    std::string content_type;
    std::string session_token;        ///< header Wagtailhitch-Session
    std::string session_id;           ///< header Wagtailhitch-Session-Id
    std::string idempotency_key;      ///< header Idempotency-Key
    std::string ticket;               ///< header Wagtailhitch-Ticket
    bool first_use{false};            ///< header Wagtailhitch-First-Use
    std::optional<duration> deadline; ///< header Wagtailhitch-Deadline-Ms
};

/// The caller closed its connection, or stopped reading past its progress deadline.
struct caller_gone {
    caller_token caller{0};
};

// ---- from the upstreams thread

/// The upstream accepted the request: response headers with status 200 were received.
struct attempt_started {
    attempt_id attempt;
};

/// What an upstream said of itself in the head of an answer to an attempt; comes before the
/// attempt's other events.
struct upstream_notice {
    attempt_id attempt;
    bool leaving{false};               ///< it takes no new work until it restarts
    std::uint64_t run{0};              ///< its incarnation; 0 if it does not say
    std::optional<duration> quiet_for; ///< it wants no requests from this VM for this time
};

/// One generated chunk of an engine's answer. Indexes count tokens from 0 within the request.
struct attempt_chunk {
    attempt_id attempt;
    std::uint64_t index{0};
    std::string content;
};

/// The upstream's answer is complete.
struct attempt_finished {
    attempt_id attempt;
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
    std::string finish_reason;        ///< engines: stop, length, low_confidence
    std::optional<double> confidence; ///< engines that report one: 0 to 1
    unsigned status{200};             ///< service calls: status, type and body of the answer
    std::string content_type;
    std::string payload;
};

/// The attempt ended without a complete answer; `reason.run` says what may have been run.
struct attempt_failed {
    attempt_id attempt;
    error reason;
    std::uint64_t next_index{0}; ///< first token index that was not received
    bool withdrawn{false};       ///< not sent, because the upstream is set aside
};

/// The answer of an upstream to a probe, or its failure.
struct probe_result {
    upstream_id upstream;
    bool reachable{false};
    bool leaving{false};
    std::uint64_t run{0};     ///< the upstream's own incarnation
    std::uint32_t running{0}; ///< requests in a batch, as the upstream last knew
    std::uint32_t waiting{0}; ///< requests queued in the upstream
    duration report_age{};    ///< age of `running` and `waiting` as stated by the upstream
    std::vector<version_id> loaded;
};

/// Cache events of an engine: prefixes it has stored or evicted. May be late and have gaps.
struct cache_events {
    upstream_id upstream;
    bool gap{false}; ///< events before these were lost
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/// The result of an upstream_order.
struct order_result {
    upstream_id upstream;
    std::uint64_t order{0};
    std::optional<error> failure;
};

// ---- from the platform thread

struct log_record {
    log_offset offset{0};
    std::string data;
};

/// A read of one stream. `head` is the offset the next append will get.
struct log_batch {
    std::string stream;
    log_offset oldest{0};
    log_offset head{0};
    log_offset from{0}; ///< the requested offset
    std::vector<log_record> records;
    time_point asked_at; ///< when the read was sent; the head is no older than this
};

struct log_read_failed {
    std::string stream;
    error reason;
};

/// The outcome of an append. A failure with outcome_unknown may have taken effect.
struct append_result {
    append_id append{0};
    expected<log_offset> first_offset;
};

enum class vm_list_state { live, leaving };

struct vm_list_entry {
    vm_id vm;
    std::string address; ///< "IP:port" of the peer listener
    failure_domain_id failure_domain;
    vm_list_state state{vm_list_state::live};
};

struct vm_list {
    std::vector<vm_list_entry> entries;
};

/// A rating of an answer, 0 to 1, from the rating service.
struct rating {
    std::string request; ///< to_string(request_id)
    version_id version;
    std::string route;
    double score{0};
};

struct ratings {
    std::vector<rating> items;
};

// ---- from the peers thread

/// A frame from an authenticated peer. `body` is decoded MessagePack, see node/peer_messages.hpp.
struct peer_frame {
    process_id from;
    failure_domain_id failure_domain;
    std::uint64_t sequence{0};
    std::string kind;
    json_ptr body;
};

struct peer_connected {
    process_id peer;
    std::string address;
};

struct peer_lost {
    vm_id peer;
    error reason;
};

// ---- from the process

/// A graceful shutdown was requested.
struct stop_requested {};

using input = std::variant<caller_request, caller_gone, attempt_started, upstream_notice,
                           attempt_chunk, attempt_finished, attempt_failed, probe_result,
                           cache_events, order_result, log_batch, log_read_failed, append_result,
                           vm_list, ratings, peer_frame, peer_connected, peer_lost, stop_requested>;

// ---- to the callers thread

/// Starts a streamed or whole answer; sent before any answer_chunk.
struct answer_start {
    caller_token caller{0};
    request_id request;
    version_id version;
    std::map<std::string, std::string> headers; ///< session token, version change
};

struct answer_chunk {
    caller_token caller{0};
    std::string content;
};

/// The answer is complete and its bill is recorded.
struct answer_end {
    caller_token caller{0};
    std::string finish_reason;
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
    double cost{0};
};

/// A non-streamed answer: of a plain service, a stored idempotency key outcome or a ticket.
struct answer_whole {
    caller_token caller{0};
    unsigned status{200};
    std::string content_type;
    std::string payload;
    std::map<std::string, std::string> headers;
};

/// A refusal or failure. After answer_start it becomes an error event and closes the stream.
struct answer_error {
    caller_token caller{0};
    error reason;
};

/// State that the callers thread serves without asking the core; always replaced completely.
struct published_state {
    bool ready{false};
    std::string not_ready_reason;
    json_ptr in_force; ///< body of GET /v1/in-force
    json_ptr status;   ///< body of GET /v1/status
    json_ptr models;   ///< body of GET /v1/models
};

// ---- to the upstreams thread

enum class attempt_kind { chat, resume, service_call };

struct attempt_start {
    attempt_id attempt;
    attempt_kind kind{attempt_kind::chat};
    upstream_id upstream;
    std::uint32_t upstream_generation{0}; ///< changes when the upstream restarts
    std::string address;                  ///< "IP:port"
    version_id version;                   ///< replaces the body's `model`
    json_ptr body;
    /// Identifies the generation at the engine (X-Request-Id); a resume names that of an earlier
    /// attempt. Each attempt that begins a generation has its own name, so that an engine never
    /// mistakes a later step of a cascade for a repeat of an earlier one. Empty: the request's id.
    std::string generation;
    std::uint64_t resume_from{0}; ///< resume: first token index wanted
    std::string method;           ///< service calls
    std::string path;
    std::string payload;
    std::string content_type;
    std::string idempotency_key;
    std::uint32_t priority{0};     ///< 0 is served first
    duration first_byte_timeout{}; ///< until response headers and the first chunk
    duration progress_timeout{};   ///< between chunks
};

/// Cancels an attempt, including its work at the upstream.
struct attempt_cancel {
    attempt_id attempt;
    std::string address;
    std::string generation; ///< as in attempt_start
};

struct probe_upstream {
    upstream_id upstream;
    std::string address;
    bool engine{true};
};

/// A command to an upstream; see upstream_spec::checks_fencing.
struct upstream_order {
    std::uint64_t order{0};
    upstream_id upstream;
    std::string address;
    std::string action; ///< load, withdraw, adapter, role
    version_id version;
    log_offset fencing{0};
};

// ---- to the platform thread

struct log_append {
    append_id append{0};
    std::string stream;
    std::vector<std::string> records;
};

/// Keeps a long poll open on a stream from `from`; replaces an earlier one. `active` false ends it.
struct log_follow {
    std::string stream;
    log_offset from{0};
    bool active{true};
};

// ---- to the peers thread

struct peer_send {
    vm_id to;
    std::string address; ///< "IP:port" of the peer's listener
    std::string kind;
    json_ptr body;
};

/// The last output of a graceful shutdown: no request is in flight and the handover has ended.
struct stopped {
    /// Peers removed this incarnation; the process continues under a new one.
    bool restart{false};
};

using output = std::variant<answer_start, answer_chunk, answer_end, answer_whole, answer_error,
                            published_state, attempt_start, attempt_cancel, probe_upstream,
                            upstream_order, log_append, log_follow, peer_send, stopped>;

} // namespace wagtailhitch
