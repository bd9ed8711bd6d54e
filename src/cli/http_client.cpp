#include "cli/http_client.hpp"

#include "config/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace wagtailhitch::cli {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// A page of the log is bounded by 1 MiB on the server's side; JSON escapes may double it.
constexpr std::uint64_t max_reply_bytes = 4ULL * 1024 * 1024;

/// Beast's synchronous calls have no timeout, so each asynchronous operation is run to completion
/// before the next one.
class blocking_client {
public:
    explicit blocking_client(duration timeout) : stream_{context_}
    {
        stream_.expires_after(timeout);
    }

    beast::error_code connect(const asio::ip::tcp::endpoint& endpoint)
    {
        stream_.async_connect(endpoint, [this](beast::error_code ec) { result_ = ec; });
        return run();
    }

    beast::error_code write(http::request<http::string_body>& request)
    {
        http::async_write(stream_, request,
                          [this](beast::error_code ec, std::size_t) { result_ = ec; });
        return run();
    }

    beast::error_code read(http::response_parser<http::string_body>& parser)
    {
        http::async_read(stream_, buffer_, parser,
                         [this](beast::error_code ec, std::size_t) { result_ = ec; });
        return run();
    }

private:
    beast::error_code run()
    {
        context_.restart();
        context_.run();
        return result_;
    }

    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    beast::error_code result_;
};

http::request<http::string_body> make_request(const http_request& in)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> out{http::string_to_verb(in.method), in.target, http_1_1};
    out.set(http::field::host, in.address);
    out.set(http::field::connection, "close");
    if (!in.body.empty()) {
        out.set(http::field::content_type, "application/json");
        out.body() = in.body;
    }
    out.prepare_payload();
    return out;
}

tl::unexpected<error> failure(const http_request& in, error_code code, run_state run,
                              const std::string& detail)
{
    return tl::unexpected(error{code, step::platform, in.address, run, detail, {}});
}

} // namespace

expected<http_reply> exchange(const http_request& in)
{
    const auto address = parse_socket_address(in.address);
    if (!address) {
        return tl::unexpected(address.error());
    }
    beast::error_code ec;
    const auto ip = asio::ip::make_address(address->ip, ec);
    blocking_client client{in.timeout};
    if (!ec) {
        ec = client.connect({ip, address->port});
    }
    if (ec) {
        return failure(in, error_code::log_unavailable, run_state::not_run, ec.message());
    }
    auto request = make_request(in);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    ec = client.write(request);
    if (!ec) {
        ec = client.read(parser);
    }
    if (ec) {
        const auto code = ec == beast::error::timeout ? error_code::upstream_timeout
                                                      : error_code::upstream_failed;
        return failure(in, code, run_state::outcome_unknown, ec.message());
    }
    return http_reply{parser.get().result_int(), std::move(parser.get().body())};
}

} // namespace wagtailhitch::cli
