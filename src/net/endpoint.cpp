#include "net/endpoint.hpp"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>

namespace wagtailhitch::detail {

namespace asio = boost::asio;

namespace {

/// Short compared with the start of a VM, which takes a few calls to the store.
constexpr duration bind_retry_after = 100ms;

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

error bind_error(const std::string& address, const boost::system::error_code& ec)
{
    error out = address_error(address, ec.message());
    if (ec == boost::system::errc::address_in_use ||
        ec == boost::system::errc::address_not_available) {
        out.retry_after = bind_retry_after;
    }
    return out;
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
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return tl::unexpected(bind_error(address, failure.code()));
    }
    return {};
}

bool drop_connection_requests(tcp_acceptor& acceptor)
{
    constexpr std::uint32_t flags_offset = 13; // of the TCP header, where the filter's data begins
    std::array<sock_filter, 5> code{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, 0xffffffffU),
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    return ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                        sizeof program) == 0;
}

bool is_open_without_unread_data(tcp_socket& socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace wagtailhitch::detail
