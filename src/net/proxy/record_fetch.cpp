#include "net/proxy/record_fetch.hpp"

#include "net/whole_answer.hpp"

#include <charconv>
#include <utility>

namespace wagtailhitch {

namespace {

constexpr std::string_view path_prefix = "/records/";
/// A VM answers from memory; half a second covers the latency between regions and a busy VM.
constexpr duration answer_timeout = 500ms;
/// Larger than the newest records of 4,000 replicas.
constexpr std::size_t answer_limit = std::size_t{4} * 1024 * 1024;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t out = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && rest == end ? std::optional{out} : std::nullopt;
}

} // namespace

// VMs of earlier versions know only paths without an epoch.
std::string records_path(std::string_view stream, log_position from)
{
    std::string out{path_prefix};
    out.append(stream).append("/").append(std::to_string(from.offset));
    if (from.epoch != log_epoch{}) {
        out.append("/").append(std::to_string(to_number(from.epoch)));
    }
    return out;
}

std::optional<records_query> parse_records_path(std::string_view path)
{
    if (!path.starts_with(path_prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(path_prefix.size());
    const auto slash = path.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    records_query out;
    out.stream = path.substr(0, slash);
    path.remove_prefix(slash + 1);
    const auto second_slash = path.find('/');
    const auto offset = parse_number(path.substr(0, second_slash));
    const auto epoch = second_slash == std::string_view::npos
                           ? std::optional<std::uint64_t>{0}
                           : parse_number(path.substr(second_slash + 1));
    if (!offset || !epoch) {
        return std::nullopt;
    }
    out.from = {log_epoch{*epoch}, *offset};
    return out;
}

void fetch_records(detail::http_client& client, const std::string& address, std::string_view stream,
                   log_position from, std::function<void(expected<relayed_records>)> done)
{
    detail::http_call call;
    call.address = address;
    call.target = records_path(stream, from);
    call.first_byte_timeout = answer_timeout;
    call.progress_timeout = answer_timeout;
    call.body_limit = answer_limit;
    detail::fetch_whole(
        client, std::move(call),
        [address, &client, done = std::move(done)](const detail::whole_answer& answer) {
            if (answer.ok()) {
                done(decode_relayed_records(answer.body));
                return;
            }
            if (answer.failure) {
                // Pooled connections may be dead; the next call opens a new one.
                client.close_idle_connections(address);
            }
            std::string why =
                answer.failure ? answer.failure->detail : "Status " + std::to_string(answer.status);
            done(tl::unexpected(error{error_code::log_unavailable,
                                      step::peer,
                                      address,
                                      run_state::not_run,
                                      std::move(why),
                                      {}}));
        });
}

} // namespace wagtailhitch
