#pragma once

#include "net/http_client.hpp"
#include "net/sse_parser.hpp"
#include "node/messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

// One attempt of a request at an upstream: the request as HTTP, and the answer as inputs.
//
//   upstream_attempt attempt{message, chunk_limit, emit};
//   client.start(attempt.call(body_limit), hooks that forward to on_header, on_data, on_end);
//
// Performs no I/O; http_client owns the socket. `emit` receives attempt_started,
// attempt_chunk, and exactly one attempt_finished or attempt_failed.

namespace wagtailhitch::detail {

class upstream_attempt {
public:
    upstream_attempt(attempt_start message, std::size_t chunk_limit,
                     std::function<void(input)> emit);

    /// The request to send; moves the bodies out of the message.
    [[nodiscard]] http_call call(std::size_t body_limit);

    void on_header(answer_head head);
    void on_data(std::string_view bytes);
    void on_end(const call_failure* failure);

    /// True once the last input was emitted; what follows on the connection is ignored.
    [[nodiscard]] bool done() const { return done_; }
    [[nodiscard]] const attempt_start& message() const { return message_; }

private:
    void emit_notice();
    [[nodiscard]] bool is_stream() const
    {
        return message_.kind != attempt_kind::service_call && head_.status == 200;
    }
    void on_event(std::string_view data);
    void parse_final_event(const nlohmann::json& event);
    void end_stream();
    void finish_service_call();
    void refuse();
    void fail(error_code code, run_state run, std::string detail);
    void fail_call(const call_failure& failure);

    attempt_start message_;
    std::function<void(input)> emit_;
    std::string request_name_;
    sse_parser parser_;
    answer_head head_;
    std::string body_;
    std::uint64_t next_index_{0};
    std::optional<attempt_finished> final_;
    bool done_{false};
    bool withdrawn_{false}; ///< nothing was sent, because the upstream is set aside
};

/// The caller's chat body with `model` and `stream` replaced.
std::string engine_body(const nlohmann::json& body, const std::string& version);

} // namespace wagtailhitch::detail
