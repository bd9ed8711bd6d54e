#pragma once

#include "base/error.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

// Datagrams between the VMs of one deployment, authenticated with the cluster key. They may be
// lost, duplicated or reordered; there are no connections that could stop responding.
//
//   peer_datagrams peers{io, {.address = "10.1.0.40:7340", .cluster_key = key}, on_report};
//   peers.start();
//   peers.send("10.1.0.41:7340", encode_peer_report(report));

namespace wagtailhitch {

struct peer_datagram_settings {
    std::string address;     ///< "IP:port"
    std::string cluster_key; ///< never logged
    std::size_t size_limit{std::size_t{32} * 1024};
};

class peer_datagrams {
public:
    /// Receives the content of each authentic datagram.
    using receiver = std::function<void(std::string_view data)>;

    peer_datagrams(boost::asio::io_context& io, peer_datagram_settings settings, receiver on_data);
    ~peer_datagrams();
    peer_datagrams(const peer_datagrams&) = delete;
    peer_datagrams& operator=(const peer_datagrams&) = delete;

    /// Errors: internal when the address cannot be bound.
    expected<void> start();
    /// Never blocks; false when the datagram could not be handed to the system.
    bool send(const std::string& address, std::string_view data);
    [[nodiscard]] std::string address() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
