#include "http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <stdexcept>

namespace wagtailhitch::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto operation_timeout = 20s;

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

struct http_connection::state {
    asio::io_context context;
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer;

    /// Runs the operation that was started; Beast's expiry applies to asynchronous calls only.
    template<typename Start> beast::error_code run(Start start)
    {
        beast::error_code out;
        stream.expires_after(operation_timeout);
        start([&out](beast::error_code ec, std::size_t) { out = ec; });
        context.restart();
        context.run();
        if (out == beast::error::timeout) {
            throw std::runtime_error{"The server did not answer within 20 s."};
        }
        return out;
    }
};

http_connection::http_connection(std::uint16_t port) : state_{std::make_unique<state>()}
{
    state_->stream.connect(tcp::endpoint{asio::ip::address_v4::loopback(), port});
}

http_connection::~http_connection() = default;

void http_connection::send(std::string_view method, std::string_view target, std::string_view body,
                           const std::map<std::string, std::string>& headers)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    state_->run([&](auto done) { http::async_write(state_->stream, request, done); });
}

http_reply http_connection::receive()
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(64ULL * 1024 * 1024);
    const auto ec = state_->run(
        [&](auto done) { http::async_read(state_->stream, state_->buffer, parser, done); });
    http_reply out;
    if (!parser.is_header_done()) {
        return out;
    }
    out.status = parser.get().result_int();
    out.complete = !ec && parser.is_done();
    for (const auto& it : parser.get()) {
        out.headers[lower_case(std::string{it.name_string()})] = std::string{it.value()};
    }
    out.text = parser.get().body();
    return out;
}

std::vector<std::string> http_reply::events() const
{
    constexpr std::string_view prefix = "data: ";
    std::vector<std::string> out;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        const std::string_view line = std::string_view{text}.substr(at, end - at);
        if (line.starts_with(prefix)) {
            out.emplace_back(line.substr(prefix.size()));
        }
        at = end + 1;
    }
    return out;
}

std::string http_reply::content() const
{
    std::string out;
    for (const std::string& it : events()) {
        if (it.starts_with('{')) {
            out += json::parse(it).value("content", "");
        }
    }
    return out;
}

http_reply http_call(std::uint16_t port, std::string_view method, std::string_view target,
                     std::string_view body, const std::map<std::string, std::string>& headers)
{
    http_connection connection{port};
    connection.send(method, target, body, headers);
    return connection.receive();
}

} // namespace wagtailhitch::testing
