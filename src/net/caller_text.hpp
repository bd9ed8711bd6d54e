#pragma once

#include "base/error.hpp"
#include "node/messages.hpp"

#include <string>
#include <string_view>

// The texts that callers receive, apart from the sockets that carry them.
//
//   std::string text = refusal_text(reason, keep_alive);   // a whole HTTP response

namespace wagtailhitch::detail {

/// HTTP status of a refusal.
unsigned status_of(error_code code);

/// `{"error":{"code","step","peer","run","message","retry_after_ms"}}`
std::string error_body(const error& reason);

/// Appends `text` as the inside of a JSON string; `text` is UTF-8.
void append_json_escaped(std::string& out, std::string_view text);

/// A whole response. Header values with line breaks are left out.
std::string response_text(unsigned status, std::string_view content_type, std::string_view body,
                          bool keep_alive, const std::map<std::string, std::string>& headers = {});
std::string refusal_text(const error& reason, bool keep_alive);

/// Head of a streamed answer; without chunked transfer the connection's end ends the answer.
std::string stream_head(const std::map<std::string, std::string>& headers, bool chunked);

/// The events of one streamed answer.
class stream_text {
public:
    stream_text() = default;
    stream_text(const request_id& id, const version_id& version, bool chunked);

    void append_content(std::string& out, std::string_view content) const;
    /// The last event with finish reason and usage, `[DONE]`, and the end of the transfer.
    void append_end(std::string& out, const answer_end& end) const;
    /// An `error` event; the transfer stays open, so that the caller sees a broken answer.
    void append_error(std::string& out, const error& reason) const;

private:
    void append_event(std::string& out, std::string_view event) const;

    std::string prefix_;
    bool chunked_{true};
};

/// The body of an answer that is not streamed.
std::string completion_body(const request_id& id, const version_id& version,
                            std::string_view content, const answer_end& end);

/// The headers that name version, request and, where known, cost.
std::map<std::string, std::string> answer_headers(const answer_start& start);
std::string cost_text(double cost);

/// The status line with its line break.
void append_status_line(std::string& out, unsigned status);

} // namespace wagtailhitch::detail
