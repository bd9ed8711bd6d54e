#pragma once

#include "base/event_log.hpp"
#include "base/metrics.hpp"
#include "net/http_client.hpp"
#include "net/proxy/deadline_queue.hpp"
#include "net/proxy/dialect.hpp"
#include "proxy/buffer_budget.hpp"
#include "proxy/event_splitter.hpp"
#include "proxy/request_flow.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

// One proxied request from its last byte to the last byte of its answer: performs the steps of a
// request_flow on real connections.

namespace wagtailhitch {

/// What all exchanges of a VM share.
struct proxy_context {
    boost::asio::io_context& io;
    proxy_core& core;
    detail::http_client& upstreams;
    deadline_queue& deadlines;
    const proxy_dialect& dialect;
    event_log& log;
    metrics& counters;
    clock_source clock;
    buffer_budget& buffers; ///< answers and bytes that wait for callers
};

/// Writes an answer to the caller. `finish` and `abort` end the exchange.
struct answer_sink {
    std::function<void(std::string_view)> write;
    std::function<void()> finish;
    std::function<void()>
        abort; ///< closes the connection, so that the caller sees a truncated answer
    std::function<bool()> closes; ///< whether the connection is closed after the answer
    /// Whether the caller is so far behind that no more should be read for it now; not set: never.
    /// proxied_exchange::on_caller_ready() follows.
    std::function<bool()> behind{};
};

/// How the answer's body is delimited on the caller's connection.
struct answer_framing {
    bool chunked{true};    ///< HTTP/1.1; otherwise the connection's end ends a stream
    bool head_only{false}; ///< HEAD: no body follows
};

class proxied_exchange : public std::enable_shared_from_this<proxied_exchange> {
public:
    proxied_exchange(proxy_context& context, request_head head, std::string body,
                     answer_framing body_framing, answer_sink sink);
    proxied_exchange(const proxied_exchange&) = delete;
    proxied_exchange& operator=(const proxied_exchange&) = delete;
    ~proxied_exchange();

    void start();
    /// The caller closed its connection; the replica's work is cancelled.
    void on_caller_gone();
    /// The caller has read what it was behind with.
    void on_caller_ready();
    /// The VM ends: answers now, or breaks off an answer that has begun.
    void on_stop();

private:
    enum class relay_mode { none, stream, whole };

    void perform(flow_step step);
    void perform_step(const wait_step& step);
    void perform_step(send_step& step);
    void perform_step(const relay_step& step);
    void perform_step(const continue_step& step);
    void perform_step(const respond_step& step);
    void perform_step(const abort_step& step);
    void send(const send_step& step);
    void on_head(std::uint32_t attempt, detail::answer_head head);
    void on_data(std::string_view bytes);
    void on_end(std::uint32_t attempt, const detail::call_failure* failure);
    /// Asks at `at` whether to send the request to a second replica; empty: never.
    void watch_for_hedge(std::optional<time_point> at);
    void on_hedge_time();
    /// Cancels the call that the answer of another attempt has overtaken.
    void cancel_overtaken();
    void relay_events(std::string_view bytes);
    void drop_buffered();
    void fail_attempt(const attempt_failure& failure);
    void fail_oversized_answer(error_code code, std::string detail);
    /// Returns the answer's head; from here on the answer counts as begun.
    [[nodiscard]] std::string begin_answer(std::optional<std::size_t> length);
    void write_events(std::string_view events);
    void finish_answer();
    void on_deadline();
    void pause_if_behind();
    void watch_for_stall();
    void on_stall();
    void cancel_calls();
    void cancel_call(std::uint32_t attempt);
    void end();
    void log_sent(const send_step& step);
    void log_answer_dropped(const response_head& head, const std::string& replica);
    void log_attempt_failed(const attempt_failure& failure);
    void log_set_aside(const response_head& head, const std::string& replica);
    void log_finished(unsigned status, std::string_view outcome, std::string_view detail);
    [[nodiscard]] detail::http_call make_call(const send_step& step) const;

    proxy_context& context_;
    request_head head_;
    std::shared_ptr<const std::string> body_;
    answer_framing framing_;
    answer_sink sink_;
    request_flow flow_;
    /// Calls in progress, by the number of the attempt; two while a second attempt runs.
    std::map<std::uint32_t, detail::http_call_ptr> calls_;
    std::uint32_t event_attempt_{0}; ///< that the latest event concerns
    deadline_queue::handle deadline_{};
    deadline_queue::handle pause_timer_{};
    deadline_queue::handle stall_timer_{};
    deadline_queue::handle hedge_timer_{};
    time_point last_event_at_; ///< or the head of the stream
    relay_mode relay_mode_{relay_mode::none};
    detail::answer_head answer_; ///< of the attempt that is relayed
    bool head_written_{false};
    bool ends_at_close_{false}; ///< the end of the connection ends the answer
    std::string buffered_body_;
    event_splitter events_;
    buffered_bytes buffered_; ///< of the body or of an incomplete event
    std::optional<time_point> first_byte_at_;
    bool has_deadline_{false};
    bool has_waited_{false}; ///< before the first attempt
    bool ended_{false};
    std::optional<time_point> paused_at_; ///< reading waits for the caller
    // Of the last attempt, for the request_finished log line.
    std::string last_replica_;
    std::string last_model_;
    double last_confidence_{-1};
};

} // namespace wagtailhitch
