#include "net/upstream_attempt.hpp"

#include "net/json_guard.hpp"
#include "net/percent_encoding.hpp"
#include "net/retry_after.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

constexpr std::string_view end_of_stream = "[DONE]";
/// Bytes of a refusal's body that are kept for the error detail.
constexpr std::size_t refusal_detail_limit = 512;
/// Longest Retry-After accepted from an upstream.
constexpr std::chrono::seconds retry_after_limit{3600};

/// Present in all answers of an upstream that is about to stop; the value is its incarnation.
constexpr std::string_view leaving_header = "X-Leaving";

/// Reads the retry delay that engines put into the body of a refusal.
std::optional<duration> retry_after_in(const std::string& body)
{
    const json refusal = parse_json(body).value_or(json{});
    if (!refusal.is_object() || !refusal.contains("retry_after_ms") ||
        !refusal["retry_after_ms"].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto wait = refusal["retry_after_ms"].get<std::uint64_t>();
    const std::chrono::milliseconds limit{retry_after_limit};
    return std::chrono::milliseconds{std::min(wait, static_cast<std::uint64_t>(limit.count()))};
}

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    const auto same = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    };
    const auto it = std::ranges::find_if(
        headers, [&](const auto& header) { return std::ranges::equal(header.first, name, same); });
    return it == headers.end() ? std::nullopt : std::optional<std::string_view>{it->second};
}

bool has_index(const json& event)
{
    const auto it = event.find("index");
    return it != event.end() && it->is_number_unsigned();
}

std::uint64_t number_or_zero(const json& event, const char* name)
{
    const auto it = event.find(name);
    return it != event.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

} // namespace

std::string engine_body(const json& body, const std::string& version)
{
    std::string out = R"({"stream":true,"model":)" + json(version).dump();
    for (const auto& [key, value] : body.items()) {
        if (key == "model" || key == "stream") {
            continue;
        }
        out += ',';
        out += json(key).dump();
        out += ':';
        out += value.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    out += '}';
    return out;
}

upstream_attempt::upstream_attempt(attempt_start message, std::size_t chunk_limit,
                                   std::function<void(input)> emit)
    : message_{std::move(message)}, emit_{std::move(emit)},
      request_name_{message_.generation.empty() ? to_string(message_.attempt.request)
                                                : message_.generation},
      parser_{chunk_limit}
{
    if (message_.kind == attempt_kind::resume) {
        next_index_ = message_.resume_from;
    }
}

http_call upstream_attempt::call(std::size_t body_limit)
{
    http_call out;
    out.address = message_.address;
    out.first_byte_timeout = message_.first_byte_timeout;
    out.progress_timeout = message_.progress_timeout;
    out.headers = {{"X-Request-Id", request_name_},
                   {"X-Attempt", std::to_string(message_.attempt.number)},
                   {"X-Priority", std::to_string(message_.priority)}};
    switch (message_.kind) {
    case attempt_kind::chat:
        out.method = "POST";
        out.target = "/v1/chat/completions";
        out.headers.emplace_back("Content-Type", "application/json");
        out.body =
            engine_body(message_.body ? *message_.body : json::object(), message_.version.value);
        out.body_limit = 0;
        break;
    case attempt_kind::resume:
        out.target = "/v1/generations/" + percent_encode(message_.generation) +
                     "?from=" + std::to_string(message_.resume_from);
        out.body_limit = 0;
        break;
    case attempt_kind::service_call:
        out.method = message_.method;
        out.target = message_.path;
        out.body = std::move(message_.payload);
        out.body_limit = body_limit;
        if (!message_.content_type.empty()) {
            out.headers.emplace_back("Content-Type", message_.content_type);
        }
        if (!message_.idempotency_key.empty()) {
            out.headers.emplace_back("Idempotency-Key", message_.idempotency_key);
        }
        break;
    }
    return out;
}

void upstream_attempt::on_header(answer_head head)
{
    head_ = std::move(head);
    if (!head_.request_id.empty() && head_.request_id != request_name_) {
        fail(error_code::stream_broken, run_state::outcome_unknown,
             "The answer belongs to request " + head_.request_id + ".");
        return;
    }
    emit_notice();
    if (head_.status == 200) {
        emit_(attempt_started{message_.attempt});
    }
}

void upstream_attempt::emit_notice()
{
    // Without an id, an answer on a reused connection may be of an earlier request.
    if (head_.request_id.empty() && head_.on_reused_connection) {
        return;
    }
    upstream_notice notice{message_.attempt, false, 0, std::nullopt};
    if (const auto run = find_header(head_.headers, leaving_header)) {
        notice.leaving = true;
        std::from_chars(run->data(), run->data() + run->size(), notice.run);
    }
    if (head_.status == 503) {
        notice.quiet_for = parse_retry_after(head_.retry_after, retry_after_limit);
    }
    if (notice.leaving || notice.quiet_for) {
        emit_(notice);
    }
}

void upstream_attempt::on_data(std::string_view bytes)
{
    if (done_) {
        return;
    }
    if (!is_stream()) {
        const bool refused = message_.kind != attempt_kind::service_call;
        if (!refused || body_.size() < refusal_detail_limit) {
            body_.append(bytes);
        }
        return;
    }
    const bool fits = parser_.feed(bytes, [this](std::string_view data) { on_event(data); });
    if (!fits && !done_) {
        fail(error_code::stream_broken, run_state::ran, "An event exceeds the size limit.");
    }
}

void upstream_attempt::on_event(std::string_view data)
{
    if (done_) {
        return;
    }
    if (data == end_of_stream) {
        end_stream();
        return;
    }
    const json event = parse_json(data).value_or(json{});
    if (!event.is_object()) {
        fail(error_code::stream_broken, run_state::ran, "An event is not a JSON object.");
        return;
    }
    const auto id = event.find("id");
    if (id != event.end() && id->is_string() &&
        id->get_ref<const std::string&>() != request_name_) {
        fail(error_code::stream_broken, run_state::outcome_unknown,
             "An event belongs to request " + id->get<std::string>() + ".");
        return;
    }
    if (event.contains("error")) {
        fail(error_code::upstream_failed, run_state::ran, event["error"].dump());
        return;
    }
    if (event.contains("finish_reason")) {
        parse_final_event(event);
        return;
    }
    const auto content = event.find("content");
    if (!has_index(event) || content == event.end() || !content->is_string()) {
        fail(error_code::stream_broken, run_state::ran, "An event lacks a valid index or content.");
        return;
    }
    const auto index = event["index"].get<std::uint64_t>();
    if (final_ || index != next_index_) {
        fail(error_code::stream_broken, run_state::ran,
             "Expected token " + std::to_string(next_index_) + ", got " + std::to_string(index) +
                 ".");
        return;
    }
    ++next_index_;
    emit_(attempt_chunk{message_.attempt, index, content->get<std::string>()});
}

void upstream_attempt::parse_final_event(const json& event)
{
    const json& reason = event["finish_reason"];
    if (!reason.is_string() || final_) {
        fail(error_code::stream_broken, run_state::ran, "The last event is malformed or repeated.");
        return;
    }
    attempt_finished out;
    out.attempt = message_.attempt;
    out.finish_reason = reason.get<std::string>();
    out.prompt_tokens = number_or_zero(event, "prompt_tokens");
    out.generated_tokens = number_or_zero(event, "generated_tokens");
    const auto confidence = event.find("confidence");
    if (confidence != event.end() && confidence->is_number()) {
        out.confidence = confidence->get<double>();
    }
    final_ = std::move(out);
}

void upstream_attempt::end_stream()
{
    if (!final_) {
        fail(error_code::stream_broken, run_state::ran,
             "The stream ended without a finish reason.");
        return;
    }
    done_ = true;
    emit_(std::move(*final_));
}

void upstream_attempt::on_end(const call_failure* failure)
{
    if (done_) {
        return;
    }
    if (failure != nullptr) {
        fail_call(*failure);
        return;
    }
    if (message_.kind == attempt_kind::service_call && head_.status != 503) {
        finish_service_call();
        return;
    }
    if (head_.status != 200) {
        refuse();
        return;
    }
    fail(error_code::stream_broken, run_state::ran, "The stream ended without [DONE].");
}

void upstream_attempt::finish_service_call()
{
    attempt_finished out;
    out.attempt = message_.attempt;
    out.status = head_.status;
    out.content_type = head_.content_type;
    out.payload = std::move(body_);
    done_ = true;
    emit_(std::move(out));
}

void upstream_attempt::refuse()
{
    // A 4xx status or 503 means that the upstream did not start the request. A resumed generation
    // has already run earlier, whatever the status is now.
    const bool before_begin = (head_.status >= 400 && head_.status < 500) || head_.status == 503;
    const bool resumed = message_.kind == attempt_kind::resume;
    const error_code code =
        before_begin ? error_code::upstream_refused : error_code::upstream_failed;
    const run_state run =
        before_begin && !resumed ? run_state::not_run : run_state::outcome_unknown;
    fail(code, run,
         "Status " + std::to_string(head_.status) + ": " + body_.substr(0, refusal_detail_limit));
}

void upstream_attempt::fail_call(const call_failure& failure)
{
    const std::string detail = failure.detail;
    withdrawn_ = failure.withdrawn;
    if (failure.stage == call_stage::connecting) {
        fail(error_code::upstream_connect_failed, run_state::not_run, detail);
        return;
    }
    const run_state run = failure.written ? run_state::outcome_unknown : run_state::not_run;
    if (failure.timed_out) {
        fail(error_code::upstream_timeout, run, detail);
        return;
    }
    fail(is_stream() ? error_code::stream_broken : error_code::upstream_failed, run, detail);
}

void upstream_attempt::fail(error_code code, run_state run, std::string detail)
{
    done_ = true;
    const bool began = head_.status == 200;
    error reason{code,
                 began ? step::stream : step::dispatch,
                 message_.upstream.value,
                 run,
                 std::move(detail),
                 parse_retry_after(head_.retry_after, retry_after_limit)};
    if (!began && !reason.retry_after) {
        reason.retry_after = retry_after_in(body_);
    }
    emit_(attempt_failed{message_.attempt, std::move(reason), next_index_, withdrawn_});
}

} // namespace wagtailhitch::detail
