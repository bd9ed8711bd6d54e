#pragma once

#include "base/error.hpp"
#include "node/messages.hpp"

#include <string>
#include <string_view>

// Formats HTTP responses and events for callers; sockets are handled elsewhere.
//
//   std::string text = refusal_text(reason, keep_alive);   // a complete HTTP response

namespace wagtailhitch::detail {

/// HTTP status of a response that reports this error.
unsigned http_status_of(error_code code);

/// `{"error":{"code","step","peer","run","message","retry_after_ms"}}`
std::string error_body(const error& reason);

/// Appends UTF-8 `text` with JSON string escapes, without the enclosing quotes.
void append_json_escaped(std::string& out, std::string_view text);

/// A complete response. Headers whose value has a line break are left out.
std::string response_text(unsigned status, std::string_view content_type, std::string_view body,
                          bool keep_alive, const std::map<std::string, std::string>& headers = {});
std::string refusal_text(const error& reason, bool keep_alive);

/// Head of a streamed answer. Without chunked transfer, closing the connection ends the answer.
std::string stream_head(const std::map<std::string, std::string>& headers, bool chunked);

/// Formats the events of one streamed answer.
class chat_stream_writer {
public:
    chat_stream_writer() = default;
    chat_stream_writer(const request_id& id, const version_id& version, bool chunked);

    void append_content(std::string& out, std::string_view content) const;
    /// Appends the last event with finish reason and usage, `[DONE]`, and the last chunk.
    void append_end(std::string& out, const answer_end& end) const;
    /// Appends an `error` event. The last chunk is not sent, so that the caller detects an
    /// incomplete answer.
    void append_error(std::string& out, const error& reason) const;

private:
    void append_event(std::string& out, std::string_view event) const;

    std::string prefix_;
    bool chunked_{true};
};

/// The body of a non-streamed answer.
std::string completion_body(const request_id& id, const version_id& version,
                            std::string_view content, const answer_end& end);

/// The headers of `start` and those that name version and request. The connection adds the cost of
/// a non-streamed answer.
std::map<std::string, std::string> answer_headers(const answer_start& start);
std::string cost_text(double cost);

/// The status line with its line break.
void append_status_line(std::string& out, unsigned status);

} // namespace wagtailhitch::detail
