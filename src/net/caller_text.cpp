#include "net/caller_text.hpp"

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

struct code_status {
    error_code code;
    unsigned status;
};

constexpr unsigned default_status = 500;

// Codes that are not listed map to default_status.
constexpr std::array<code_status, 37> statuses{{
    {error_code::malformed_request, 400},
    {error_code::body_too_large, 413},
    {error_code::unknown_path, 404},
    {error_code::unknown_team, 401},
    {error_code::model_not_allowed, 403},
    {error_code::unknown_model, 404},
    {error_code::unknown_service, 404},
    {error_code::session_token_invalid, 400},
    {error_code::session_version_withdrawn, 409},
    {error_code::not_ready, 503},
    {error_code::shutting_down, 503},
    {error_code::team_rate_limited, 429},
    {error_code::team_spend_limited, 429},
    {error_code::queue_full, 503},
    {error_code::deadline_unreachable, 503},
    {error_code::no_upstream, 503},
    {error_code::prompt_quarantined, 503},
    {error_code::ring_full, 503},
    {error_code::bill_buffer_full, 503},
    {error_code::claim_unavailable, 503},
    {error_code::key_in_use, 409},
    {error_code::key_expired, 409},
    {error_code::key_mismatch, 422},
    {error_code::ticket_invalid, 400},
    {error_code::ticket_owner_gone, 409},
    {error_code::upstream_connect_failed, 502},
    {error_code::upstream_refused, 502},
    {error_code::upstream_failed, 502},
    {error_code::upstream_timeout, 504},
    {error_code::stream_broken, 502},
    {error_code::caller_gone, 499},
    {error_code::config_invalid, 422},
    {error_code::config_conflict, 409},
    {error_code::signature_invalid, 403},
    {error_code::log_unavailable, 503},
    {error_code::peer_unavailable, 503},
    {error_code::authority_lost, 503},
}};

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    if (value.find_first_of("\r\n") != std::string_view::npos) {
        return;
    }
    out.append(name).append(": ").append(value).append("\r\n");
}

json usage_of(const answer_end& end)
{
    return {{"prompt_tokens", end.prompt_tokens},
            {"completion_tokens", end.generated_tokens},
            {"total_tokens", end.prompt_tokens + end.generated_tokens},
            {"cost", end.cost}};
}

} // namespace

void append_status_line(std::string& out, unsigned status)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    const auto phrase =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    out.append(phrase.data(), phrase.size()).append("\r\n");
}

unsigned http_status_of(error_code code)
{
    for (const auto& [listed, status] : statuses) {
        if (listed == code) {
            return status;
        }
    }
    return default_status;
}

std::string error_body(const error& reason)
{
    json out{{"code", name_of(reason.code)},
             {"step", name_of(reason.at)},
             {"peer", reason.peer},
             {"run", name_of(reason.run)},
             {"message", reason.detail}};
    if (reason.retry_after) {
        out["retry_after_ms"] = to_milliseconds(*reason.retry_after);
    }
    return json{{"error", std::move(out)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

void append_json_escaped(std::string& out, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned char first_printable = 0x20;
    std::size_t unescaped_start = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        if (byte >= first_printable && byte != '"' && byte != '\\') {
            continue;
        }
        out.append(text.substr(unescaped_start, i - unescaped_start));
        unescaped_start = i + 1;
        if (byte == '"' || byte == '\\') {
            out.push_back('\\');
            out.push_back(text[i]);
        }
        else if (byte == '\n') {
            out.append("\\n");
        }
        else {
            out.append("\\u00");
            out.push_back(digits[byte >> 4U]);
            out.push_back(digits[byte & 0xfU]);
        }
    }
    out.append(text.substr(unescaped_start));
}

std::string response_text(unsigned status, std::string_view content_type, std::string_view body,
                          bool keep_alive, const std::map<std::string, std::string>& headers)
{
    std::string out;
    out.reserve(256 + body.size());
    append_status_line(out, status);
    if (!content_type.empty()) {
        append_header(out, "Content-Type", content_type);
    }
    append_header(out, "Content-Length", std::to_string(body.size()));
    if (!keep_alive) {
        append_header(out, "Connection", "close");
    }
    for (const auto& [name, value] : headers) {
        append_header(out, name, value);
    }
    out.append("\r\n").append(body);
    return out;
}

std::string refusal_text(const error& reason, bool keep_alive)
{
    std::map<std::string, std::string> headers;
    if (reason.retry_after) {
        // Whole seconds, rounded up, so that callers do not retry too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*reason.retry_after);
        headers["Retry-After"] = std::to_string(seconds.count());
    }
    if (reason.code == error_code::unknown_team) {
        headers["WWW-Authenticate"] = "Bearer";
    }
    return response_text(http_status_of(reason.code), "application/json", error_body(reason),
                         keep_alive, headers);
}

std::string stream_head(const std::map<std::string, std::string>& headers, bool chunked)
{
    std::string out;
    out.reserve(512);
    append_status_line(out, 200);
    append_header(out, "Content-Type", "text/event-stream");
    append_header(out, "Cache-Control", "no-cache");
    if (chunked) {
        append_header(out, "Transfer-Encoding", "chunked");
    }
    else {
        append_header(out, "Connection", "close");
    }
    for (const auto& [name, value] : headers) {
        append_header(out, name, value);
    }
    out.append("\r\n");
    return out;
}

chat_stream_writer::chat_stream_writer(const request_id& id, const version_id& version,
                                       bool chunked)
    : chunked_{chunked}
{
    prefix_ = R"({"id":")";
    append_json_escaped(prefix_, to_string(id));
    prefix_ += R"(","object":"chat.completion.chunk","model":")";
    append_json_escaped(prefix_, version.value);
    prefix_ += R"(","choices":[{"index":0,"delta":{)";
}

void chat_stream_writer::append_event(std::string& out, std::string_view event) const
{
    if (!chunked_) {
        out.append(event);
        return;
    }
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), event.size(), 16).ptr;
    out.append(size.data(), end).append("\r\n").append(event).append("\r\n");
}

void chat_stream_writer::append_content(std::string& out, std::string_view content) const
{
    std::string event;
    event.reserve(prefix_.size() + content.size() + 64);
    event.append("data: ").append(prefix_).append(R"("content":")");
    append_json_escaped(event, content);
    event.append("\"},\"finish_reason\":null}]}\n\n");
    append_event(out, event);
}

void chat_stream_writer::append_end(std::string& out, const answer_end& end) const
{
    std::string event = "data: " + prefix_ + R"(},"finish_reason":")";
    append_json_escaped(event, end.finish_reason);
    event.append(R"("}],"usage":)").append(usage_of(end).dump()).append("}\n\n");
    event.append("data: [DONE]\n\n");
    append_event(out, event);
    if (chunked_) {
        out.append("0\r\n\r\n");
    }
}

void chat_stream_writer::append_error(std::string& out, const error& reason) const
{
    append_event(out, "event: error\ndata: " + error_body(reason) + "\n\n");
}

std::string completion_body(const request_id& id, const version_id& version,
                            std::string_view content, const answer_end& end)
{
    std::string out = R"({"id":")";
    append_json_escaped(out, to_string(id));
    out += R"(","object":"chat.completion","model":")";
    append_json_escaped(out, version.value);
    out += R"(","choices":[{"index":0,"message":{"role":"assistant","content":")";
    append_json_escaped(out, content);
    out += R"("},"finish_reason":")";
    append_json_escaped(out, end.finish_reason);
    out += R"("}],"usage":)" + usage_of(end).dump() + "}";
    return out;
}

std::map<std::string, std::string> answer_headers(const answer_start& start)
{
    std::map<std::string, std::string> out = start.headers;
    out["Wagtailhitch-Version"] = start.version.value;
    out["Wagtailhitch-Request-Id"] = to_string(start.request);
    return out;
}

std::string cost_text(double cost)
{
    return json(cost).dump();
}

} // namespace wagtailhitch::detail
