#include <CLI/CLI.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

// The baseline of the data path: a bare pass-through that parses each request and each part of an
// answer with Beast and forwards it. Requests go to the upstreams in round-robin order over
// persistent connections. It decides, limits and records nothing.
//
//   pass_through --upstream 127.0.0.1:6001 --upstream 127.0.0.1:6002 --port-file /tmp/port

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

struct upstream_connection {
    explicit upstream_connection(asio::io_context& io) : stream{io} {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};
using connection_ptr = std::unique_ptr<upstream_connection>;

/// Round-robin list of upstreams, each with its idle connections.
class upstream_pool {
public:
    upstream_pool(asio::io_context& io, const std::vector<std::string>& addresses) : io_{io}
    {
        for (const std::string& it : addresses) {
            const auto colon = it.rfind(':');
            const auto port = static_cast<std::uint16_t>(std::stoul(it.substr(colon + 1)));
            entries_.push_back({{asio::ip::make_address(it.substr(0, colon)), port}, {}});
        }
    }

    std::size_t next() { return next_++ % entries_.size(); }

    asio::awaitable<connection_ptr> take(std::size_t upstream)
    {
        auto& chosen = entries_[upstream];
        if (!chosen.idle.empty()) {
            auto kept = std::move(chosen.idle.back());
            chosen.idle.pop_back();
            co_return kept;
        }
        auto out = std::make_unique<upstream_connection>(io_);
        co_await out->stream.async_connect(chosen.endpoint, asio::use_awaitable);
        out->stream.socket().set_option(tcp::no_delay{true});
        co_return out;
    }

    void give_back(std::size_t upstream, connection_ptr connection)
    {
        entries_[upstream].idle.push_back(std::move(connection));
    }

private:
    struct entry {
        tcp::endpoint endpoint;
        std::vector<connection_ptr> idle;
    };

    asio::io_context& io_;
    std::vector<entry> entries_;
    std::size_t next_{0};
};

/// Forwards the upstream's answer, each part as soon as it is read.
asio::awaitable<void> relay_answer(upstream_connection& from, beast::tcp_stream& to)
{
    constexpr std::size_t part_bytes = 16384;
    std::array<char, part_bytes> part{};
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(from.stream, from.buffer, parser, asio::use_awaitable);
    http::response_serializer<http::buffer_body> serializer{parser.get()};
    parser.get().body().data = nullptr;
    parser.get().body().more = true;
    co_await http::async_write_header(to, serializer, asio::use_awaitable);
    error_code ec;
    auto use = asio::redirect_error(asio::use_awaitable, ec);
    while (!parser.is_done() || !serializer.is_done()) {
        auto& body = parser.get().body();
        if (!parser.is_done()) {
            body.data = part.data();
            body.size = part.size();
            co_await http::async_read_some(from.stream, from.buffer, parser, use);
            if (ec && ec != http::error::need_buffer) {
                throw beast::system_error{ec};
            }
            body.size = part.size() - body.size;
            // An empty part that is not null would be written as a second closing chunk.
            body.data = body.size == 0 ? nullptr : part.data();
            body.more = !parser.is_done();
        }
        else {
            body.data = nullptr;
            body.size = 0;
            body.more = false;
        }
        if (body.size == 0 && body.more) {
            continue;
        }
        co_await http::async_write(to, serializer, use);
        if (ec && ec != http::error::need_buffer) {
            throw beast::system_error{ec};
        }
    }
}

asio::awaitable<void> serve_caller(beast::tcp_stream caller, upstream_pool& pool)
{
    beast::flat_buffer buffer;
    std::uint64_t sequence = 0;
    try {
        for (;;) {
            http::request<http::string_body> request;
            co_await http::async_read(caller, buffer, request, asio::use_awaitable);
            request.set("X-Request-Id", std::to_string(reinterpret_cast<std::uintptr_t>(&buffer)) +
                                            "/" + std::to_string(sequence++));
            const std::size_t upstream = pool.next();
            auto connection = co_await pool.take(upstream);
            co_await http::async_write(connection->stream, request, asio::use_awaitable);
            co_await relay_answer(*connection, caller);
            pool.give_back(upstream, std::move(connection));
        }
    }
    catch (const std::exception&) {
        // Either side closed its connection; the caller's closes when this coroutine ends.
        co_return;
    }
}

asio::awaitable<void> accept_callers(tcp::acceptor& acceptor, upstream_pool& pool)
{
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay{true});
        asio::co_spawn(acceptor.get_executor(),
                       serve_caller(beast::tcp_stream{std::move(socket)}, pool), asio::detached);
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"pass_through: bare HTTP pass-through, the baseline of the data path"};
    std::vector<std::string> upstreams;
    std::string port_file;
    app.add_option("--upstream", upstreams, "IP:port; repeatable")->required();
    app.add_option("--port-file", port_file, "File that receives the port");
    CLI11_PARSE(app, argc, argv);
    asio::io_context io{1};
    upstream_pool pool{io, upstreams};
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    const auto port = acceptor.local_endpoint().port();
    std::cout << "listening on 127.0.0.1:" << port << std::endl;
    if (!port_file.empty()) {
        std::ofstream{port_file} << port << std::endl;
    }
    asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](error_code, int) { io.stop(); });
    asio::co_spawn(io, accept_callers(acceptor, pool), asio::detached);
    io.run();
    return 0;
}
