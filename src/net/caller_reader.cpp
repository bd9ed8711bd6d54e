#include "net/caller_reader.hpp"

#include "base/digest.hpp"
#include "net/json_guard.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

constexpr std::size_t prefix_block_bytes = 1024;
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t key_limit = 256;
constexpr std::size_t name_limit = 256;
constexpr std::uint64_t deadline_limit_ms = 24ULL * 3600 * 1000;
constexpr std::string_view services_path = "/v1/services/";
constexpr std::string_view bearer_scheme = "Bearer ";

tl::unexpected<error> malformed(std::string detail)
{
    return tl::unexpected(error{
        error_code::malformed_request, step::parse, {}, run_state::not_run, std::move(detail), {}});
}

bool is_name(std::string_view text)
{
    constexpr std::string_view allowed_punctuation = "-._";
    for (const char c : text) {
        const bool is_allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                (c >= '0' && c <= '9') ||
                                allowed_punctuation.find(c) != std::string_view::npos;
        if (!is_allowed) {
            return false;
        }
    }
    return !text.empty() && text.size() <= name_limit;
}

/// Appends the text of a message, whose content is a string or a list of text parts. Returns false
/// when the message is malformed.
bool append_message(std::string& prompt, const json& message)
{
    const auto content = message.is_object() ? message.find("content") : message.end();
    if (!message.is_object() || content == message.end()) {
        return false;
    }
    if (content->is_string()) {
        prompt += content->get_ref<const std::string&>();
        return true;
    }
    if (!content->is_array()) {
        return content->is_null();
    }
    for (const json& part : *content) {
        if (!part.is_object() || !part.contains("text") || !part["text"].is_string()) {
            return false;
        }
        prompt += part["text"].get_ref<const std::string&>();
    }
    return true;
}

expected<std::string> read_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return malformed("The field messages is not a list with at least one message.");
    }
    std::string prompt;
    for (const json& message : *messages) {
        if (!append_message(prompt, message)) {
            return malformed("A message has no text content.");
        }
    }
    return prompt;
}

expected<std::uint32_t> read_max_tokens(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        const auto it = body.find(name);
        if (it == body.end() || it->is_null()) {
            continue;
        }
        if (!it->is_number_unsigned() ||
            it->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
            return malformed(std::string{"The field "} + name + " is not a whole number.");
        }
        return static_cast<std::uint32_t>(it->get<std::uint64_t>());
    }
    return 0;
}

expected<void> read_chat(caller_request& out, const std::string& text,
                         const caller_server_settings& settings)
{
    auto body = parse_json(text);
    if (!body || !body->is_object()) {
        return malformed("The body is not a JSON object, or is nested too deeply.");
    }
    const auto model = body->find("model");
    if (model == body->end() || !model->is_string() ||
        model->get_ref<const std::string&>().empty()) {
        return malformed("The field model is not a non-empty string.");
    }
    out.model = model->get<std::string>();
    const auto stream = body->find("stream");
    if (stream != body->end() && !stream->is_boolean() && !stream->is_null()) {
        return malformed("The field stream is not true or false.");
    }
    out.stream = stream != body->end() && stream->is_boolean() && stream->get<bool>();
    const auto max_tokens = read_max_tokens(*body);
    if (!max_tokens) {
        return tl::unexpected(max_tokens.error());
    }
    out.max_tokens = *max_tokens;
    const auto prompt = read_prompt(*body);
    if (!prompt) {
        return tl::unexpected(prompt.error());
    }
    if (prompt->size() > settings.prompt_limit) {
        return tl::unexpected(error{error_code::body_too_large,
                                    step::parse,
                                    {},
                                    run_state::not_run,
                                    "The prompt has " + std::to_string(prompt->size()) +
                                        " bytes; the limit is " +
                                        std::to_string(settings.prompt_limit) + ".",
                                    {}});
    }
    out.prompt_tokens = static_cast<std::uint32_t>(prompt->size() / bytes_per_token);
    out.prefix_hashes = hash_prefixes(*prompt);
    out.body = std::make_shared<const json>(std::move(*body));
    return {};
}

expected<void> read_service_call(caller_request& out, received_request& received)
{
    const std::string_view service_and_call = received.path.substr(services_path.size());
    const std::size_t slash = service_and_call.find('/');
    const std::string_view service = service_and_call.substr(0, slash);
    const std::string_view call =
        slash == std::string_view::npos ? std::string_view{} : service_and_call.substr(slash + 1);
    if (!is_name(service) || !is_name(call)) {
        return malformed("The path is not /v1/services/{service}/{call}.");
    }
    out.service = service;
    out.call = call;
    out.payload = std::move(received.body);
    out.content_type = received.header("Content-Type");
    return {};
}

expected<void> read_headers(caller_request& out, const received_request& received)
{
    const std::string_view authorization = received.header("Authorization");
    if (authorization.starts_with(bearer_scheme)) {
        out.bearer_token = authorization.substr(bearer_scheme.size());
    }
    out.session_token = received.header("Wagtailhitch-Session");
    out.session_id = received.header("Wagtailhitch-Session-Id");
    out.idempotency_key = received.header("Idempotency-Key");
    out.ticket = received.header("Wagtailhitch-Ticket");
    out.first_use = received.header("Wagtailhitch-First-Use") == "true";
    if (out.idempotency_key.size() > key_limit || out.session_id.size() > key_limit) {
        return malformed("Idempotency-Key and Wagtailhitch-Session-Id have at most 256 bytes.");
    }
    const std::string_view deadline = received.header("Wagtailhitch-Deadline-Ms");
    if (deadline.empty()) {
        return {};
    }
    std::uint64_t ms = 0;
    const char* last = deadline.data() + deadline.size();
    const auto [end, failure] = std::from_chars(deadline.data(), last, ms);
    if (failure != std::errc{} || end != last || ms == 0 || ms > deadline_limit_ms) {
        return malformed("Wagtailhitch-Deadline-Ms is not a number from 1 to 86400000.");
    }
    out.deadline = std::chrono::milliseconds{ms};
    return {};
}

} // namespace

std::vector<std::uint64_t> hash_prefixes(std::string_view prompt)
{
    std::vector<std::uint64_t> out;
    out.reserve(prompt.size() / prefix_block_bytes);
    std::uint64_t seed = 0;
    while (prompt.size() >= prefix_block_bytes) {
        seed = hash64(prompt.substr(0, prefix_block_bytes), seed);
        out.push_back(seed);
        prompt.remove_prefix(prefix_block_bytes);
    }
    return out;
}

expected<caller_request> read_caller_request(received_request&& received,
                                             const caller_server_settings& settings)
{
    caller_request out;
    if (auto headers = read_headers(out, received); !headers) {
        return tl::unexpected(headers.error());
    }
    expected<void> read;
    if (received.method == "POST" && received.path == "/v1/chat/completions") {
        out.kind = caller_request_kind::chat;
        read = read_chat(out, received.body, settings);
    }
    else if (received.method == "POST" && received.path == "/v1/tickets") {
        out.kind = caller_request_kind::issue_ticket;
    }
    else if (received.path.starts_with(services_path)) {
        out.kind = caller_request_kind::service_call;
        read = read_service_call(out, received);
    }
    else {
        read = tl::unexpected(error{error_code::unknown_path,
                                    step::parse,
                                    {},
                                    run_state::not_run,
                                    "Nothing is served under this method and path.",
                                    {}});
    }
    if (!read) {
        return tl::unexpected(read.error());
    }
    return out;
}

} // namespace wagtailhitch::detail
