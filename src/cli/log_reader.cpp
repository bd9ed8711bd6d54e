#include "cli/log_reader.hpp"

#include "cli/http_client.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch::cli {

namespace {

using nlohmann::json;

constexpr int max_page_records = 500;
constexpr duration reply_timeout = 5s;
// One append stays below the 1 MiB that the log's HTTP interface accepts.
constexpr std::size_t max_append_bytes = std::size_t{512} * 1024;

const std::string target = "/v1/streams/" + std::string{config_stream} + "/records";

error unavailable(const std::string& address, std::string detail)
{
    return error{error_code::log_unavailable, step::platform,    address,
                 run_state::not_run,          std::move(detail), {}};
}

/// 4xx and 503 are refusals before anything is stored; for other statuses the outcome is unknown.
run_state run_state_for_status(unsigned status)
{
    const bool refused = (status >= 400 && status < 500) || status == 503;
    return refused ? run_state::not_run : run_state::outcome_unknown;
}

} // namespace

expected<bool> log_reader::read_page(config_fold& fold, duration wait,
                                     const event_handler& on_event) const
{
    const auto from = fold.next_offset();
    const auto reply = exchange({address_, "GET",
                                 target + "?from=" + std::to_string(from) +
                                     "&limit=" + std::to_string(max_page_records) +
                                     "&wait_ms=" + std::to_string(to_milliseconds(wait)),
                                 "", wait + reply_timeout});
    if (!reply) {
        return tl::unexpected(unavailable(address_, reply.error().detail));
    }
    if (reply->status != 200) {
        return tl::unexpected(unavailable(address_, "The log answered with status " +
                                                        std::to_string(reply->status) + "."));
    }
    try {
        const auto page = json::parse(reply->body);
        fold.advance_oldest(page.at("oldest").get<log_offset>());
        for (const auto& record : page.at("records")) {
            const auto data = record.at("data").get<std::string>();
            for (const auto& event : fold.apply(record.at("offset").get<log_offset>(), data)) {
                on_event(event);
            }
        }
        const auto head = page.at("head").get<log_offset>();
        if (fold.next_offset() == from && from < head) {
            return tl::unexpected(unavailable(
                address_, "The log has records up to offset " + std::to_string(head) +
                              ", but returned none from " + std::to_string(from) + " on."));
        }
        return fold.next_offset() >= head;
    }
    catch (const json::exception& e) {
        return tl::unexpected(unavailable(address_, e.what()));
    }
}

expected<void> log_reader::catch_up(config_fold& fold, const event_handler& on_event) const
{
    while (true) {
        const auto at_head = read_page(fold, 0ms, on_event);
        if (!at_head) {
            return tl::unexpected(at_head.error());
        }
        if (*at_head && fold.seeking_snapshot()) {
            return tl::unexpected(error{error_code::log_gap,
                                        step::platform,
                                        address_,
                                        run_state::not_run,
                                        "The log's first records have expired and it holds no "
                                        "snapshot.",
                                        {}});
        }
        if (*at_head) {
            return {};
        }
    }
}

expected<void> log_reader::append(const std::vector<std::string>& records) const
{
    for (std::size_t i = 0; i < records.size();) {
        json batch = json::array();
        for (std::size_t bytes = 0; i < records.size() && (bytes == 0 || bytes < max_append_bytes);
             ++i) {
            bytes += records[i].size();
            batch.push_back(records[i]);
        }
        const bool first = i == batch.size();
        const auto reply =
            exchange({address_, "POST", target, json{{"records", batch}}.dump(), reply_timeout});
        const auto run = reply ? run_state_for_status(reply->status) : reply.error().run;
        if (reply && reply->status < 300) {
            continue;
        }
        auto reason = unavailable(address_, reply ? "The log answered with status " +
                                                        std::to_string(reply->status) + "."
                                                  : reply.error().detail);
        reason.run = first ? run : run_state::outcome_unknown;
        return tl::unexpected(reason);
    }
    return {};
}

} // namespace wagtailhitch::cli
