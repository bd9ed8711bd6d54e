#pragma once

#include "cascade/cascade_policy.hpp"
#include "config/document.hpp"
#include "limits/admission_queue.hpp"
#include "node/core_state.hpp"
#include "request/bill_gate.hpp"
#include "request/request_common.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

// Handles each chat request: route, admission, attempts, cascade steps, stream and bill.
//
//   chats.start(message, team, now, out);
//   chats.on_chunk(event, now, out);        // and the other attempt events
//   chats.tick(now, out);                   // retries, deadlines, queue
//
// Attempt events are matched by request and attempt. Events of a finished attempt are dropped and
// counted, so that no caller receives tokens of a cancelled attempt.

namespace wagtailhitch {

/// One attempt to run the request on one upstream.
struct chat_attempt {
    attempt_id id;
    std::uint32_t generation{0}; ///< attempt that started the generation; a resume keeps it
    upstream_id upstream;
    version_id version;
    dispatch_ticket ticket;
    time_point sent;
    std::optional<time_point> first_token;
    duration predicted{};
};

struct chat_request {
    request_facts facts;
    caller_request message;
    std::string route_name;
    route_spec route;
    std::vector<cascade_step_info> steps;
    std::size_t step{0};
    session_choice choice;
    version_id version;
    /// Prices of `version` when the step started; later changes do not affect the bill.
    double cost_per_1k_input{0};
    double cost_per_1k_output{0};
    model_id queue;                      ///< model whose admission queue counts this request
    std::optional<queue_entry> admitted; ///< queue entry at admission
    time_point admitted_at;
    limit_amounts estimate;
    std::optional<chat_attempt> attempt;
    std::optional<chat_attempt> broken; ///< the attempt a resume continues
    std::vector<replica_index> tried_replicas;
    std::uint32_t attempts_made{0};
    std::uint32_t retries{0};
    bool resume_failed{false};
    std::uint64_t next_index{0}; ///< next token index of the current step's answer
    std::string buffered;        ///< tokens of a step whose answer may still be discarded
    bool answer_started{false};
    std::optional<time_point> retry_at;
    bool retry_resumes{false};
    std::vector<bill_line> lines;
};

class chat_requests {
public:
    chat_requests(core_state& state, bill_gate& gate);

    // Commands.
    void start(const caller_request& message, const team_id& team, time_point now,
               std::vector<output>& out);
    void on_caller_gone(caller_token caller, time_point now, std::vector<output>& out);
    void on_chunk(const attempt_chunk& event, time_point now, std::vector<output>& out);
    void on_finished(const attempt_finished& event, time_point now, std::vector<output>& out);
    void on_failed(const attempt_failed& event, time_point now, std::vector<output>& out);
    void on_configuration(time_point now);
    void tick(time_point now, std::vector<output>& out);

    // Queries.
    /// Where a running attempt was sent.
    [[nodiscard]] std::optional<std::pair<upstream_id, dispatch_ticket>>
    sent_attempt(const attempt_id& id) const;
    [[nodiscard]] std::size_t in_flight() const { return requests_.size(); }
    [[nodiscard]] bool owns(const request_id& id) const { return requests_.contains(id); }

private:
    using requests = std::map<request_id, chat_request>;

    expected<chat_request> prepare(const caller_request& message, const team_id& team,
                                   time_point now);
    expected<route_spec> find_route(const caller_request& message) const;
    expected<session_choice> choose_session(const chat_request& request, const model_id& model,
                                            time_point now) const;
    [[nodiscard]] std::vector<cascade_step_info> describe_steps(const chat_request& request,
                                                                time_point now) const;
    [[nodiscard]] limit_amounts estimate_use(const chat_request& request) const;
    expected<void> enter_step(chat_request& request, std::size_t step, time_point now);
    void dispatch(chat_request& request, time_point now, std::vector<output>& out);
    void dispatch_resume(chat_request& request, time_point now, std::vector<output>& out);
    void send_attempt(chat_request& request, const choice& target, time_point now,
                      std::vector<output>& out);
    void start_answer(chat_request& request, std::vector<output>& out) const;
    [[nodiscard]] bool answer_is_final(const chat_request& request) const;
    void end_attempt(chat_request& request, attempt_result result, time_point now);
    /// Ends a failed attempt and keeps it for a resume.
    void end_attempt_for_resume(chat_request& request, time_point now);
    static void add_bill_line(chat_request& request, std::uint64_t prompt_tokens,
                              std::uint64_t generated_tokens);
    void complete(requests::iterator it, const attempt_finished& event, time_point now,
                  std::vector<output>& out);
    void fail(requests::iterator it, error reason, time_point now, std::vector<output>& out);
    void retry_or_fail(requests::iterator it, const error& reason, time_point now,
                       std::vector<output>& out);
    void cancel_attempt(chat_request& request, time_point now, std::vector<output>& out);
    requests::iterator remove(requests::iterator it, time_point now);
    chat_request* find_attempt(const attempt_id& id);
    admission_queue& queue_for(const model_id& model);
    void serve_queues(time_point now, std::vector<output>& out);
    void apply_concurrency();

    core_state& state_;
    bill_gate& gate_;
    requests requests_;
    std::map<caller_token, request_id> by_caller_;
    std::map<std::uint64_t, request_id> by_sequence_;
    std::map<model_id, admission_queue> queues_;
};

} // namespace wagtailhitch
