#include "net/proxy/peer_datagrams.hpp"

#include "base/digest.hpp"
#include "net/endpoint.hpp"

#include <boost/asio/ip/udp.hpp>

#include <utility>
#include <vector>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;
using asio::ip::udp;

namespace {

/// Bytes of the message authentication code in front of the content.
constexpr std::size_t tag_size = 32;

} // namespace

struct peer_datagrams::state : std::enable_shared_from_this<state> {
    state(asio::io_context& io, peer_datagram_settings values, receiver on_data)
        : settings{std::move(values)}, receive{std::move(on_data)}, socket{io},
          buffer(settings.size_limit)
    {
    }

    void read()
    {
        socket.async_receive_from(
            asio::buffer(buffer), sender,
            [self = shared_from_this()](boost_error ec, std::size_t n) { self->on_read(ec, n); });
    }

    void on_read(boost_error ec, std::size_t n)
    {
        if (ec == asio::error::operation_aborted || !socket.is_open()) {
            return;
        }
        // Other errors report that an earlier datagram could not be delivered.
        if (!ec && n > tag_size) {
            const std::string_view whole{buffer.data(), n};
            const std::string_view data = whole.substr(tag_size);
            if (equal_constant_time(hmac_sha256(settings.cluster_key, data),
                                    whole.substr(0, tag_size))) {
                receive(data);
            }
        }
        read();
    }

    peer_datagram_settings settings;
    receiver receive;
    udp::socket socket;
    udp::endpoint sender;
    std::vector<char> buffer;
};

peer_datagrams::peer_datagrams(asio::io_context& io, peer_datagram_settings settings,
                               receiver on_data)
    : state_{std::make_shared<state>(io, std::move(settings), std::move(on_data))}
{
}

peer_datagrams::~peer_datagrams()
{
    boost_error ignored;
    state_->socket.close(ignored);
}

expected<void> peer_datagrams::start()
{
    const auto endpoint = detail::parse_endpoint(state_->settings.address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    boost_error ec;
    const udp::endpoint local{endpoint->address(), endpoint->port()};
    state_->socket.open(local.protocol(), ec);
    if (!ec) {
        state_->socket.bind(local, ec);
    }
    if (!ec) {
        state_->socket.non_blocking(true, ec);
    }
    if (ec) {
        boost_error ignored;
        state_->socket.close(ignored);
        return tl::unexpected(detail::bind_error(state_->settings.address, ec));
    }
    state_->read();
    return {};
}

bool peer_datagrams::send(const std::string& address, std::string_view data)
{
    const auto endpoint = detail::parse_endpoint(address);
    if (!endpoint || !state_->socket.is_open()) {
        return false;
    }
    std::string datagram = hmac_sha256(state_->settings.cluster_key, data);
    datagram.append(data);
    boost_error ec;
    state_->socket.send_to(asio::buffer(datagram),
                           udp::endpoint{endpoint->address(), endpoint->port()}, 0, ec);
    return !ec;
}

std::string peer_datagrams::address() const
{
    boost_error ec;
    const auto local = state_->socket.local_endpoint(ec);
    return ec ? std::string{} : local.address().to_string() + ":" + std::to_string(local.port());
}

} // namespace wagtailhitch
