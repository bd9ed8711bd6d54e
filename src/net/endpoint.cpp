#include "net/endpoint.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace wagtailhitch::detail {

namespace asio = boost::asio;

namespace {

error address_error(std::string_view text, const std::string& why)
{
    return error{error_code::internal,
                 step::dispatch,
                 std::string{text},
                 run_state::not_run,
                 "The address is not usable: " + why + ".",
                 {}};
}

} // namespace

expected<tcp::endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(address_error(text, "expected IP:port"));
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        return tl::unexpected(address_error(text, "the port is not a number up to 65535"));
    }
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(std::string{host}, ec);
    if (ec) {
        return tl::unexpected(address_error(text, "the host is not an IP address"));
    }
    return tcp::endpoint{ip, port};
}

std::string to_string(const tcp::endpoint& endpoint)
{
    const std::string ip = endpoint.address().to_string();
    const std::string host = endpoint.address().is_v6() ? "[" + ip + "]" : ip;
    return host + ":" + std::to_string(endpoint.port());
}

expected<void> listen_on(tcp_acceptor& acceptor, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    try {
        acceptor.open(endpoint->protocol());
        acceptor.set_option(asio::socket_base::reuse_address{true});
        acceptor.bind(*endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
    }
    catch (const boost::system::system_error& failure) {
        return tl::unexpected(address_error(address, failure.code().message()));
    }
    return {};
}

bool is_open_without_unread_data(tcp_socket& socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace wagtailhitch::detail
