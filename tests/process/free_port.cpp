#include "free_port.hpp"

#include "net/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>

namespace wagtailhitch::testing {

namespace {

// Linux takes the ports of outgoing connections from 32768 on.
constexpr unsigned first_port = 15000;
constexpr unsigned port_count = 17000;
/// Gives test processes that run at the same time different first ports.
constexpr unsigned ports_per_process = 97;

bool is_free(std::uint16_t port)
{
    boost::asio::io_context io;
    detail::tcp_acceptor acceptor{io.get_executor()};
    return detail::listen_on(acceptor, "127.0.0.1:" + std::to_string(port)).has_value();
}

} // namespace

std::uint16_t free_port()
{
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * ports_per_process};
    for (unsigned tries = 0; tries < port_count; ++tries) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (is_free(port)) {
            return port;
        }
    }
    throw std::runtime_error{"No port is free."};
}

} // namespace wagtailhitch::testing
