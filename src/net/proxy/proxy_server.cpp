#include "net/proxy/proxy_server.hpp"

#include "net/endpoint.hpp"
#include "net/proxy/proxied_connection.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;

namespace {

/// Delay after a failed accept, which usually means that file descriptors have run out.
constexpr std::chrono::milliseconds accept_retry_delay{100};
/// Interval at which the sockets of connections are looked at.
constexpr duration watch_interval = 250ms;
/// Shortest time between two log lines about limits.
constexpr duration limit_log_interval = 1s;

} // namespace

void proxy_server::state::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost_error ec, detail::tcp_socket socket) {
        self->on_accepted(ec, std::move(socket));
    });
}

void proxy_server::state::on_accepted(boost_error ec, detail::tcp_socket socket)
{
    if (!ec) {
        // The listening socket may have been closed after this connection was accepted.
        begin_connection(std::move(socket));
    }
    if (!acceptor.is_open()) {
        return;
    }
    if (ec) {
        context.deadlines.after(accept_retry_delay, [self = weak_from_this()] {
            if (const auto it = self.lock()) {
                it->accept();
            }
        });
        return;
    }
    accept();
}

void proxy_server::state::begin_connection(detail::tcp_socket socket)
{
    const bool full = connections.size() >= settings.connection_limit ||
                      (settings.descriptor_left && !settings.descriptor_left());
    if (full) {
        report_limit("connections", 0);
        if (!close_waiting_connection()) {
            return;
        }
    }
    boost_error ignored;
    socket.set_option(detail::tcp::no_delay{true}, ignored);
    if (settings.socket_buffer > 0) {
        socket.set_option(asio::socket_base::send_buffer_size{settings.socket_buffer}, ignored);
    }
    auto connection = std::make_shared<detail::proxied_connection>(*this, std::move(socket));
    connections.insert(connection);
    connection->begin();
    if (!std::exchange(watching, true)) {
        watch_connections();
    }
}

bool proxy_server::state::close_waiting_connection()
{
    std::shared_ptr<detail::proxied_connection> longest;
    time_point since = time_point::max();
    for (const auto& it : connections) {
        if (const auto waiting = it->waiting_since(); waiting && *waiting < since) {
            longest = it;
            since = *waiting;
        }
    }
    if (longest) {
        longest->close();
    }
    return longest != nullptr;
}

void proxy_server::state::watch_connections()
{
    if (connections.empty()) {
        watching = false;
        return;
    }
    const auto all = connections;
    for (const auto& it : all) {
        it->watch();
    }
    context.deadlines.after(watch_interval, [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->watch_connections();
        }
    });
}

void proxy_server::state::report_limit(std::string_view limit, std::size_t bytes)
{
    context.counters.count("caller_limits_total", {{"limit", std::string{limit}}}).add();
    const time_point now = context.clock();
    if (limit_logged_at && now - *limit_logged_at < limit_log_interval) {
        ++limits_unlogged;
        return;
    }
    limit_logged_at = now;
    context.log.write("caller_limit_applied", {{"limit", limit},
                                               {"bytes", bytes},
                                               {"held_bytes", context.buffers.used_by_callers()},
                                               {"connections", connections.size()},
                                               {"unlogged", std::exchange(limits_unlogged, 0)}});
}

proxy_server::proxy_server(proxy_context& context, proxy_server_settings settings)
    : state_{std::make_shared<state>(context, std::move(settings))}
{
}

proxy_server::~proxy_server()
{
    boost_error ignored;
    state_->acceptor.close(ignored);
    const auto all = state_->connections;
    for (const auto& it : all) {
        it->close();
    }
}

expected<void> proxy_server::start()
{
    if (auto bound = detail::listen_on(state_->acceptor, state_->settings.address); !bound) {
        return bound;
    }
    if (state_->settings.socket_buffer > 0) {
        // Accepted sockets inherit the size; on failure the system's default stays in effect.
        boost_error ignored;
        state_->acceptor.set_option(
            asio::socket_base::receive_buffer_size{state_->settings.socket_buffer}, ignored);
    }
    state_->accept();
    return {};
}

std::string proxy_server::address() const
{
    boost_error ec;
    const auto endpoint = state_->acceptor.local_endpoint(ec);
    return ec ? std::string{} : detail::to_string(endpoint);
}

void proxy_server::drain()
{
    state_->draining = true;
}

void proxy_server::close_idle()
{
    state_->draining = true;
    const auto all = state_->connections;
    for (const auto& it : all) {
        it->close_when_idle();
    }
}

void proxy_server::end_requests()
{
    const auto all = state_->connections;
    for (const auto& it : all) {
        it->end_request();
    }
}

bool proxy_server::answering() const
{
    return std::ranges::any_of(state_->connections, [](const auto& it) { return it->answering(); });
}

bool proxy_server::quiet() const
{
    return std::ranges::none_of(state_->connections,
                                [](const auto& it) { return it->busy() || it->receiving(); });
}

void proxy_server::ignore_new_connections()
{
    if (!detail::drop_connection_requests(state_->acceptor)) {
        state_->context.log.write("connection_requests_not_ignored", {});
    }
}

// Closing the listening socket resets the connections that wait in its queue, so they are accepted
// first.
void proxy_server::stop_accepting()
{
    boost_error ec;
    state_->acceptor.non_blocking(true, ec);
    while (!ec && state_->acceptor.is_open()) {
        detail::tcp_socket socket{state_->acceptor.get_executor()};
        state_->acceptor.accept(socket, ec);
        if (!ec) {
            state_->begin_connection(std::move(socket));
        }
    }
    state_->acceptor.close(ec);
}

std::size_t proxy_server::connections() const
{
    return state_->connections.size();
}

} // namespace wagtailhitch
