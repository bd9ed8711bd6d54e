#include "net/proxy/proxy_server.hpp"

#include "net/endpoint.hpp"
#include "net/proxy/proxied_connection.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <vector>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;

namespace {

/// Delay after a failed accept, which usually means that file descriptors have run out.
constexpr std::chrono::milliseconds accept_retry_delay{100};

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
    if (connections.size() >= settings.connection_limit) {
        return;
    }
    boost_error ignored;
    socket.set_option(detail::tcp::no_delay{true}, ignored);
    auto connection = std::make_shared<detail::proxied_connection>(*this, std::move(socket));
    connections.insert(connection);
    connection->begin();
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
