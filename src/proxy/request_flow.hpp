#pragma once

#include "proxy/proxy_core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

// The course of one proxied request: after each event, what happens next.
//
//   request_flow flow{core, request};
//   flow_step next = flow.begin(now);             // send_step: to which replica
//   next = flow.on_head(head, now);               // relay_step: the answer goes to the caller
//   next = flow.on_failure(failure, now);         // another send_step, or the final answer
//   flow.on_end(now);                             // the answer is complete
//
// The owner performs the steps: it sends, relays, answers or closes, and reports what it sees.

namespace wagtailhitch {

/// Send the request to `placed`; an attempt under way is given up first.
struct send_step {
    placement placed;
    std::string model;       ///< empty: as the caller named it
    duration time_left{};    ///< until the final answer is due
    duration head_timeout{}; ///< without any answer by then the replica counts as silent
    std::optional<std::uint64_t> resume_after; ///< last event that the caller has
    duration pause{};                          ///< before sending
    bool fresh_connection{false}; ///< an old one could lose the request, which must not be repeated
};

/// The VM has just started and is about to know where to send the request: call begin() again.
struct wait_step {
    duration pause{};
};

/// Pass the answer of the attempt under way on to the caller.
struct relay_step {};

/// The final answer, made here; an attempt under way is given up.
struct answer_step {
    unsigned status{503};
    error reason;
};

/// Part of the answer has reached the caller and the rest cannot be had: close the connection, so
/// that the answer does not look complete.
struct break_step {
    error reason;
};

using flow_step = std::variant<send_step, wait_step, relay_step, answer_step, break_step>;

/// The head of a replica's answer, as far as decisions need it.
struct replica_head {
    unsigned status{0};
    bool own_id{true};                ///< it answers this request
    bool signed_answer{false};        ///< it carries the replica's signature
    bool not_run{false};              ///< the replica says that it did not run the request
    std::string answered_by;          ///< the replica's own id, where it says so
    std::optional<double> confidence; ///< 0 to 1
};

struct attempt_failure {
    error_code code{error_code::upstream_failed};
    run_state run{run_state::outcome_unknown};
    std::string detail;
};

/// HTTP status of an answer that is made here.
unsigned status_of(const error& reason);

class request_flow {
public:
    request_flow(proxy_core& core, proxied_request request);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    /// Called again after a wait_step.
    flow_step begin(time_point now);
    flow_step on_head(const replica_head& head, time_point now);
    /// An event of a stream was passed on to the caller.
    void on_event(std::optional<std::uint64_t> id, time_point now);
    /// Whether an event with this id is new to the caller.
    [[nodiscard]] bool is_new(std::optional<std::uint64_t> id) const;
    /// The attempt under way ended without a complete answer.
    flow_step on_failure(const attempt_failure& failure, time_point now);
    /// The attempt's answer is complete and was passed on.
    void on_end(time_point now);
    /// The caller left.
    void on_caller_gone(time_point now);
    /// give_up_at() has passed.
    flow_step on_deadline(time_point now);

    [[nodiscard]] const proxied_request& request() const { return request_; }
    [[nodiscard]] const std::optional<admission>& admitted() const { return admitted_; }
    [[nodiscard]] const std::optional<placement>& placed() const { return placed_; }
    [[nodiscard]] time_point give_up_at() const { return admitted_->give_up_at; }
    [[nodiscard]] std::uint32_t sends() const { return history_.sends; }
    [[nodiscard]] bool answer_begun() const { return answer_begun_; }
    [[nodiscard]] run_state run() const { return run_; }

private:
    flow_step place(duration pause, time_point now);
    flow_step give_up(const error& reason, time_point now);
    flow_step retry(const attempt_failure& failure, time_point now);
    flow_step accept_or_escalate(const replica_head& head, time_point now);
    flow_step refused_by_replica(const attempt_failure& failure, time_point now);
    [[nodiscard]] bool slow(time_point now) const;
    /// Mean time between the events of the attempt under way.
    [[nodiscard]] std::optional<duration> pause_of_events() const;
    void end_attempt(attempt_result result, time_point now);
    void bill_request(bill_outcome outcome, time_point now);
    [[nodiscard]] duration head_timeout() const;

    proxy_core& core_;
    proxied_request request_;
    std::optional<admission> admitted_;
    std::optional<placement> placed_; ///< of the attempt under way
    send_history history_;
    std::vector<bill_line> bill_lines_; ///< of attempts that ran
    std::uint64_t events_{0};           ///< of the attempt under way
    std::uint32_t retries_{0};          ///< after failures
    std::uint32_t arrivals_{0};         ///< at replicas, also at those that refused
    time_point sent_at_;
    std::optional<time_point> first_event_at_; ///< of the attempt under way
    time_point last_event_at_;                 ///< of the attempt under way
    std::optional<std::uint64_t> last_event_;
    bool answer_begun_{false}; ///< the caller has part of an answer
    bool head_seen_{false};    ///< of the attempt under way
    bool head_refused_{false}; ///< the replica did not run it
    bool failing_{false};      ///< the attempt under way answers with a failure
    run_state run_{run_state::not_run};
};

} // namespace wagtailhitch
