#include "cli/http_client.hpp"

#include "config/settings.hpp"
#include "net/whole_answer.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace wagtailhitch::cli {

namespace {

// A page of the log is bounded by 1 MiB on the server's side; JSON escapes may double it.
constexpr std::size_t max_reply_bytes = std::size_t{4} * 1024 * 1024;
/// Time for the client's own deadlines to expire, which tell whether the request was sent.
constexpr duration deadline_margin = 200ms;

detail::http_call make_call(const http_request& in)
{
    detail::http_call out;
    out.address = in.address;
    out.method = in.method;
    out.target = in.target;
    out.body = in.body;
    out.headers.emplace_back("Connection", "close");
    if (!in.body.empty()) {
        out.headers.emplace_back("Content-Type", "application/json");
    }
    out.first_byte_timeout = in.timeout;
    out.progress_timeout = in.timeout;
    out.body_limit = max_reply_bytes;
    return out;
}

tl::unexpected<error> failure(const http_request& in, const detail::call_failure& why)
{
    if (!why.written) {
        return tl::unexpected(error{error_code::log_unavailable,
                                    step::platform,
                                    in.address,
                                    run_state::not_run,
                                    why.detail,
                                    {}});
    }
    const auto code = why.timed_out ? error_code::upstream_timeout : error_code::upstream_failed;
    return tl::unexpected(
        error{code, step::platform, in.address, run_state::outcome_unknown, why.detail, {}});
}

} // namespace

expected<http_reply> exchange(const http_request& in)
{
    if (const auto address = parse_socket_address(in.address); !address) {
        return tl::unexpected(address.error());
    }
    boost::asio::io_context io;
    detail::http_client_settings settings;
    settings.connect_timeout = in.timeout;
    detail::http_client client{io, settings};
    std::optional<detail::whole_answer> answer;
    detail::fetch_whole(client, make_call(in), [&](const detail::whole_answer& it) {
        answer = it;
        io.stop();
    });
    io.run_for(in.timeout + deadline_margin);
    if (!answer) {
        return failure(
            in,
            {.written = true, .timed_out = true, .detail = "The answer was not complete in time."});
    }
    if (answer->failure) {
        return failure(in, *answer->failure);
    }
    return http_reply{answer->status, std::move(answer->body)};
}

} // namespace wagtailhitch::cli
