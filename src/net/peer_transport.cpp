#include "net/peer_transport.hpp"
namespace wagtailhitch {
struct peer_transport::state {};
peer_transport::peer_transport(boost::asio::io_context&, peer_transport_settings, input_sink,
                               metrics&)
{
}
peer_transport::~peer_transport() = default;
expected<void> peer_transport::start()
{
    return {};
}
std::string peer_transport::address() const
{
    return {};
}
void peer_transport::handle(peer_send&&) {}
} // namespace wagtailhitch
