#include "server.hpp"

#include "server_text.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <utility>

namespace wagtailhitch::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

struct event_loop::state {
    asio::io_context context{1};
};

event_loop::event_loop() : state_{std::make_unique<state>()} {}
event_loop::~event_loop() = default;

void event_loop::after(duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(state_->context, wait);
    timer->async_wait([timer, action = std::move(action)](error_code ec) {
        if (!ec) {
            action();
        }
    });
}

time_point event_loop::now()
{
    return time_point{std::chrono::steady_clock::now()};
}

namespace {

// The router's largest body is 1 MiB; the stand-ins accept a little more so that the router's own
// bound is the one that is tested.
constexpr std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
constexpr std::uint32_t max_header_bytes = 64U * 1024;

class connection;

struct server_state {
    event_loop& loop;
    const server_hooks& hooks;
    server_faults faults;
    std::set<connection*> connections;
    std::uint64_t swallowed{0}; ///< requests that were read and left unhandled

    void dispatch(const http_request& request, const exchange_ptr& out);
    void handle(const http_request& request, const exchange_ptr& out) const;
    void control(const http_request& request, const exchange_ptr& out);
    void apply(const json& change);
    [[nodiscard]] json describe() const;
    bool reply_with_fault(const exchange_ptr& out);
};

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, server_state& server)
        : socket_{std::move(socket)}, server_{server}
    {
        server_.connections.insert(this);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { server_.connections.erase(this); }

    void read();
    void write(std::string bytes);
    /// Reads the next request once everything is written.
    void finish();
    void close();
    /// Stops handling and sending on the connection but keeps it open.
    void make_unresponsive()
    {
        unresponsive_ = true;
        self_reference_ = shared_from_this();
    }
    void lose_next_reply() { lose_reply_ = true; }
    [[nodiscard]] bool loses_reply() const { return lose_reply_; }
    [[nodiscard]] std::string headers() const
    {
        return server_.hooks.headers ? server_.hooks.headers() : std::string{};
    }
    [[nodiscard]] bool open() const { return open_ && !unresponsive_; }

private:
    void received(http::request<http::string_body> message);
    void write_next();

    tcp::socket socket_;
    server_state& server_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<std::string> outgoing_;
    std::shared_ptr<connection> self_reference_;
    bool writing_{false};
    bool finished_{false};
    bool open_{true};
    bool unresponsive_{false};
    bool lose_reply_{false};
};

/// Sends through a connection for as long as its answer is not complete.
class connection_exchange : public exchange {
public:
    explicit connection_exchange(std::shared_ptr<connection> to) : to_{std::move(to)} {}

    void reply(unsigned status, const json& body) override
    {
        reply_text(status, "application/json",
                   body.dump(-1, ' ', false, json::error_handler_t::replace));
    }

    void reply_text(unsigned status, std::string_view type, std::string_view body) override
    {
        send_whole(status, type, body, {});
    }

    void refuse(duration retry_after, const json& body) override
    {
        const double seconds = std::chrono::duration<double>(retry_after).count();
        send_whole(503, "application/json", body.dump(),
                   "Retry-After: " + std::to_string(seconds) + "\r\n");
    }

    void start_events() override
    {
        if (open()) {
            to_->write(event_stream_head(to_->headers()));
        }
    }

    void event(std::string_view data) override
    {
        if (open()) {
            to_->write(event_chunk(data));
        }
    }

    void end() override
    {
        if (!open()) {
            return;
        }
        if (to_->loses_reply()) {
            drop();
            return;
        }
        to_->write(std::string{last_chunk});
        complete();
    }

    void drop() override
    {
        if (!done_) {
            done_ = true;
            to_->close();
        }
    }

    [[nodiscard]] bool open() const override { return !done_ && to_->open(); }

private:
    void send_whole(unsigned status, std::string_view type, std::string_view body,
                    const std::string& headers)
    {
        if (!open()) {
            return;
        }
        if (to_->loses_reply()) {
            drop();
            return;
        }
        to_->write(whole_response(status, type, body, to_->headers() + headers));
        complete();
    }

    void complete()
    {
        done_ = true;
        to_->finish();
    }

    std::shared_ptr<connection> to_;
    bool done_{false};
};

void connection::read()
{
    finished_ = false;
    lose_reply_ = false;
    parser_.emplace();
    parser_->body_limit(max_body_bytes);
    parser_->header_limit(max_header_bytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                         if (ec) {
                             self->close();
                             return;
                         }
                         self->received(self->parser_->release());
                     });
}

void connection::received(http::request<http::string_body> message)
{
    http_request request;
    request.method = std::string{message.method_string()};
    for (const auto& field : message) {
        request.headers[lower_case(field.name_string())] = std::string{field.value()};
    }
    split_target(message.target(), request);
    request.body = std::move(message.body());
    auto out = std::make_shared<connection_exchange>(shared_from_this());
    const bool is_control = request.path == "/control";
    if (!is_control && (unresponsive_ || server_.faults.silent)) {
        ++server_.swallowed;
        make_unresponsive();
        return;
    }
    if (is_control) {
        server_.control(request, out);
        return;
    }
    if (server_.reply_with_fault(out)) {
        return;
    }
    if (server_.faults.lose_replies > 0) {
        --server_.faults.lose_replies;
        lose_next_reply();
    }
    server_.dispatch(request, out);
}

void connection::write(std::string bytes)
{
    outgoing_.push_back(std::move(bytes));
    if (!writing_) {
        write_next();
    }
}

void connection::write_next()
{
    writing_ = true;
    asio::async_write(socket_, asio::buffer(outgoing_.front()),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                          self->writing_ = false;
                          self->outgoing_.pop_front();
                          if (ec) {
                              self->close();
                          }
                          else if (!self->outgoing_.empty()) {
                              self->write_next();
                          }
                          else if (self->finished_ && self->open_) {
                              self->read();
                          }
                      });
}

void connection::finish()
{
    finished_ = true;
    if (!writing_ && open_) {
        read();
    }
}

void connection::close()
{
    open_ = false;
    self_reference_.reset();
    error_code ignored;
    socket_.close(ignored);
}

bool server_state::reply_with_fault(const exchange_ptr& out)
{
    if (faults.fail_status != 0) {
        out->reply(faults.fail_status, {{"error", "fault"}});
        return true;
    }
    if (faults.fail_next > 0) {
        --faults.fail_next;
        out->reply(503, {{"error", "fault"}});
        return true;
    }
    return false;
}

void server_state::dispatch(const http_request& request, const exchange_ptr& out)
{
    if (faults.slow_ms == 0) {
        handle(request, out);
        return;
    }
    loop.after(std::chrono::milliseconds{faults.slow_ms},
               [this, request, out] { handle(request, out); });
}

void server_state::handle(const http_request& request, const exchange_ptr& out) const
{
    try {
        hooks.handle(request, out);
    }
    catch (const std::exception& e) {
        out->reply(400, {{"error", "malformed_request"}, {"message", e.what()}});
    }
}

void server_state::apply(const json& change)
{
    json rest = json::object();
    for (const auto& [key, value] : change.items()) {
        if (key == "silent") {
            faults.silent = value.get<bool>();
        }
        else if (key == "fail_status") {
            faults.fail_status = value.get<unsigned>();
        }
        else if (key == "fail_next") {
            faults.fail_next = value.get<std::uint64_t>();
        }
        else if (key == "lose_replies") {
            faults.lose_replies = value.get<std::uint64_t>();
        }
        else if (key == "slow_ms") {
            faults.slow_ms = value.get<std::uint64_t>();
        }
        else if (key != "silence_open") {
            rest[key] = value;
        }
    }
    if (!rest.empty()) {
        hooks.control(rest);
    }
}

json server_state::describe() const
{
    json out = hooks.state ? hooks.state() : json::object();
    out["silent"] = faults.silent;
    out["fail_status"] = faults.fail_status;
    out["fail_next"] = faults.fail_next;
    out["lose_replies"] = faults.lose_replies;
    out["slow_ms"] = faults.slow_ms;
    out["swallowed"] = swallowed;
    return out;
}

void server_state::control(const http_request& request, const exchange_ptr& out)
{
    try {
        const json change = request.method == "POST" ? json::parse(request.body) : json::object();
        apply(change);
        out->reply(200, describe());
        // The connection that carries the command is answered first, then made unresponsive as
        // well.
        if (change.value("silence_open", false)) {
            for (auto* it : connections) {
                it->make_unresponsive();
            }
        }
    }
    catch (const std::exception& e) {
        out->reply(400, {{"error", "malformed_request"}, {"message", e.what()}});
    }
}

void accept_next(tcp::acceptor& acceptor, server_state& server)
{
    acceptor.async_accept([&acceptor, &server](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            error_code ignored;
            socket.set_option(tcp::no_delay{true}, ignored);
            std::make_shared<connection>(std::move(socket), server)->read();
        }
        accept_next(acceptor, server);
    });
}

/// Renames a complete file into place, so that a reader never sees part of the number.
bool write_port_file(const std::string& path, std::uint16_t port)
{
    const std::string partial = path + ".partial";
    std::ofstream{partial} << port << '\n';
    return std::rename(partial.c_str(), path.c_str()) == 0;
}

} // namespace

int run_server(event_loop& loop, const listen_options& options, const server_hooks& hooks)
{
    asio::io_context& context = loop.internals().context;
    server_state server{loop, hooks, {}, {}, 0};
    tcp::acceptor acceptor{context, tcp::endpoint{asio::ip::address_v4::loopback(), options.port}};
    const std::uint16_t port = acceptor.local_endpoint().port();
    // Whoever reads the port may send a signal at once.
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](error_code, int) { context.stop(); });
    if (!options.port_file.empty() && !write_port_file(options.port_file, port)) {
        std::cerr << "The port file " << options.port_file << " could not be written.\n";
        return 1;
    }
    std::cout << "listening on 127.0.0.1:" << port << std::endl;
    accept_next(acceptor, server);
    context.run();
    // Handlers hold connections that refer to `server`; they would have to be destroyed before it.
    // The process ends here, so the sockets are left to the operating system.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace wagtailhitch::standins
