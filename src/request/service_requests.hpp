#pragma once

#include "claim/claim_flow.hpp"
#include "node/core_state.hpp"
#include "request/bill_gate.hpp"
#include "request/request_common.hpp"
#include "session/ticket.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

// Handles calls of plain services according to their delivery guarantee (design 3.5).
//
//   services.start(message, team, now, out);
//   services.on_finished(event, now, out);      // and on_failed
//   services.on_claims(now, out);               // after each read of the stream `claims`
//   services.tick(now, out);
//
// An idempotent call may be retried. A non-idempotent call is sent at most once: from this process
// only (no key), by the process that its ticket names, or by the owner of its key's claim.

namespace wagtailhitch {

enum class call_guarantee { idempotent, once, ticket, keyed };

template<>
inline constexpr auto enum_names<call_guarantee> = name_table<call_guarantee, 4>{{
    {call_guarantee::idempotent, "idempotent"},
    {call_guarantee::once, "once"},
    {call_guarantee::ticket, "ticket"},
    {call_guarantee::keyed, "keyed"},
}};

/// Sender of a forwarded ticket call, which receives the answer.
struct forwarded_call {
    vm_id from;
    std::uint64_t call{0};
};

struct service_request {
    request_facts facts;
    caller_request message;
    call_spec call;
    call_guarantee guarantee{call_guarantee::once};
    std::optional<claim_flow> claim;
    std::optional<ticket> used_ticket;
    std::optional<forwarded_call> forwarded; ///< received from another VM
    std::uint64_t forward_id{0}; ///< number under which the call was sent to the ticket's owner
    std::optional<attempt_id> attempt;
    std::optional<dispatch_ticket> pool_ticket;
    time_point sent;
    upstream_id upstream;
    std::vector<replica_index> tried_replicas;
    std::uint32_t attempts_made{0};
    std::uint32_t retries{0};
    std::optional<time_point> retry_at;
};

/// Digest of a call's service, name and payload; distinguishes a repeat from another request.
std::uint64_t digest_of(const caller_request& message);

class service_requests {
public:
    service_requests(core_state& state, bill_gate& gate);

    // Commands.
    void start(const caller_request& message, const team_id& team, time_point now,
               std::vector<output>& out);
    void issue_ticket(const caller_request& message, const team_id& team, std::vector<output>& out);
    void on_caller_gone(caller_token caller, time_point now, std::vector<output>& out);
    void on_finished(const attempt_finished& event, time_point now);
    void on_failed(const attempt_failed& event, time_point now, std::vector<output>& out);
    void on_claims(time_point now, std::vector<output>& out);
    void on_forward(const process_id& from, const ticket_forward_message& message, time_point now,
                    std::vector<output>& out);
    void on_ticket_answer(const ticket_answer_message& message, time_point now,
                          std::vector<output>& out);
    void tick(time_point now, std::vector<output>& out);

    // Queries.
    /// Where a running attempt was sent.
    [[nodiscard]] std::optional<std::pair<upstream_id, dispatch_ticket>>
    sent_attempt(const attempt_id& id) const;
    [[nodiscard]] std::size_t in_flight() const { return requests_.size(); }
    [[nodiscard]] bool owns(const request_id& id) const { return requests_.contains(id); }

private:
    using requests = std::map<request_id, service_request>;

    expected<call_spec> find_call(const caller_request& message) const;
    void begin(service_request request, time_point now, std::vector<output>& out);
    void begin_ticket(requests::iterator it, time_point now, std::vector<output>& out);
    void forward(requests::iterator it, time_point now, std::vector<output>& out);
    void act_on_claim(requests::iterator it, const claim_action& action, time_point now,
                      std::vector<output>& out);
    void dispatch(requests::iterator it, time_point now, std::vector<output>& out);
    void end_attempt(service_request& request, attempt_result result, time_point now);
    /// Sends an answer that was stored, and billed, earlier.
    void answer_stored(requests::iterator it, unsigned status, std::string content_type,
                       std::string payload, std::vector<output>& out);
    void complete(requests::iterator it, const attempt_finished& event, time_point now);
    /// Sends `reason` to the caller while the call continues: its answer is stored for a repeat.
    void detach_caller(service_request& request, error reason, std::vector<output>& out);
    void fail(requests::iterator it, error reason, time_point now, std::vector<output>& out);
    void respond(service_request& request, answer_whole answer, std::vector<output>& out);
    void remove(requests::iterator it);
    [[nodiscard]] claims_confirmation confirmation() const;

    core_state& state_;
    bill_gate& gate_;
    requests requests_;
    std::map<caller_token, request_id> by_caller_;
    std::map<std::uint64_t, request_id> by_forward_id_;
    std::uint64_t next_forward_id_{1};
};

} // namespace wagtailhitch
