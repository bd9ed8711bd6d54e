#include "net/platform_text.hpp"

#include "net/json_guard.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

error log_error(run_state run, std::string detail)
{
    return error{error_code::log_unavailable, step::platform, "log", run, std::move(detail), {}};
}

std::optional<std::uint64_t> number_in(const json& body, const char* name)
{
    const auto it = body.find(name);
    if (it == body.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

std::string text_in(const json& body, const char* name)
{
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

std::optional<json> object_of(const whole_answer& answer)
{
    if (!answer.ok()) {
        return std::nullopt;
    }
    auto body = parse_json(answer.body);
    if (!body || !body->is_object()) {
        return std::nullopt;
    }
    return body;
}

std::string why(const whole_answer& answer)
{
    if (answer.failure) {
        return answer.failure->detail;
    }
    return "The answer has status " + std::to_string(answer.status) + " or cannot be read.";
}

bool was_refused(unsigned status)
{
    return (status >= 400 && status < 500) || status == status_too_many ||
           status == status_unavailable;
}

/// Appends the records in order; false when one is malformed or out of order.
bool read_records(const json& list, std::size_t record_limit, log_batch& out)
{
    log_offset min_offset = std::max(out.from, out.oldest);
    for (const json& it : list) {
        const auto offset = it.is_object() ? number_in(it, "offset") : std::nullopt;
        if (!offset || *offset < min_offset || *offset >= out.head || !it.contains("data")) {
            return false;
        }
        min_offset = *offset + 1;
        std::string data = text_in(it, "data");
        if (data.size() > record_limit) {
            data.clear();
        }
        out.records.push_back({*offset, std::move(data)});
    }
    return true;
}

} // namespace

std::optional<std::string> append_body(const std::vector<std::string>& records)
{
    try {
        return json{{"records", records}}.dump();
    }
    catch (const json::type_error&) {
        return std::nullopt;
    }
}

append_result parse_append(append_id append, const whole_answer& answer)
{
    if (const auto body = object_of(answer)) {
        if (const auto first = number_in(*body, "first_offset")) {
            return {append, *first};
        }
    }
    const bool not_run = answer.failure ? !answer.failure->written : was_refused(answer.status);
    return {append, tl::unexpected(log_error(
                        not_run ? run_state::not_run : run_state::outcome_unknown, why(answer)))};
}

expected<log_batch> parse_batch(const std::string& stream, log_offset from,
                                std::size_t record_limit, const whole_answer& answer)
{
    const auto body = object_of(answer);
    if (!body) {
        return tl::unexpected(log_error(run_state::not_run, why(answer)));
    }
    const auto oldest = number_in(*body, "oldest");
    const auto head = number_in(*body, "head");
    const auto records = body->find("records");
    if (!oldest || !head || records == body->end() || !records->is_array()) {
        return tl::unexpected(
            log_error(run_state::not_run, "The answer lacks oldest, head or records."));
    }
    log_batch out;
    out.stream = stream;
    out.oldest = *oldest;
    out.head = *head;
    out.from = from;
    if (!read_records(*records, record_limit, out)) {
        return tl::unexpected(
            log_error(run_state::not_run, "A record is malformed or out of order."));
    }
    return out;
}

log_offset next_offset(const log_batch& batch)
{
    if (!batch.records.empty()) {
        return batch.records.back().offset + 1;
    }
    return std::max(batch.from, batch.oldest);
}

std::optional<vm_list> parse_vm_list(const whole_answer& answer)
{
    const auto body = object_of(answer);
    if (!body || !body->contains("vms") || !(*body)["vms"].is_array()) {
        return std::nullopt;
    }
    vm_list out;
    for (const json& it : (*body)["vms"]) {
        if (!it.is_object()) {
            continue;
        }
        const std::string state = text_in(it, "state");
        vm_list_entry entry{vm_id{text_in(it, "id")}, text_in(it, "address"),
                            failure_domain_id{text_in(it, "failure_domain")},
                            state == "leaving" ? vm_list_state::leaving : vm_list_state::live};
        const bool known = state == "live" || state == "leaving";
        if (known && !entry.vm.empty() && !entry.address.empty()) {
            out.entries.push_back(std::move(entry));
        }
    }
    return out;
}

std::optional<rating_page> parse_ratings(const whole_answer& answer)
{
    const auto body = object_of(answer);
    if (!body || !body->contains("items") || !(*body)["items"].is_array()) {
        return std::nullopt;
    }
    const auto next = number_in(*body, "next");
    if (!next) {
        return std::nullopt;
    }
    rating_page out;
    out.next = *next;
    for (const json& it : (*body)["items"]) {
        const auto score = it.is_object() ? it.find("score") : it.end();
        if (!it.is_object() || score == it.end() || !score->is_number()) {
            continue;
        }
        out.items.items.push_back({text_in(it, "request"), version_id{text_in(it, "version")},
                                   text_in(it, "route"),
                                   std::clamp(score->get<double>(), 0.0, 1.0)});
    }
    return out;
}

} // namespace wagtailhitch::detail
