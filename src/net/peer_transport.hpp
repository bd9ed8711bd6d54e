#pragma once

#include "net/input_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

// Exchanges frames between VMs over HTTP/2: one connection for each pair of VMs in use, mutually
// authenticated with the cluster key.
//
//   peer_transport peers{io, settings, sink, metrics};
//   peers.start();
//   peers.handle(peer_send{vm_id{"sierra-a-2"}, "127.0.0.1:7101", "heartbeat", body});
//
// Delivery is at most once: a frame is dropped and counted when the send queue is full or the
// connection is lost. Reports peer_connected, peer_frame and peer_lost.

namespace wagtailhitch {

class metrics;

struct peer_transport_settings {
    std::string address{"127.0.0.1:0"}; ///< listener, "IP:port"
    process_id self;
    failure_domain_id failure_domain;
    std::string cluster_key; ///< never logged
    std::size_t frame_limit{std::size_t{1024} * 1024};
    std::size_t queue_limit{256};                          ///< frames that wait for one peer
    std::size_t queue_bytes{std::size_t{8} * 1024 * 1024}; ///< bytes that wait for one peer
    std::size_t connection_limit{1024};
    std::vector<std::string> kinds; ///< frames of other kinds are dropped; empty: all are accepted
    duration connect_timeout{1s};   ///< until both sides are authenticated
    duration ping_interval{1s};
    duration ping_timeout{3s}; ///< a connection without an answer to a ping is closed
    duration reconnect_delay{200ms};
    duration idle_timeout{60s}; ///< a connection without frames is closed
    /// How long the redundant one of two connections of a pair still receives frames.
    duration retire_delay{1s};
    duration sweep_interval{20ms};
};

class peer_transport {
public:
    peer_transport(boost::asio::io_context& io, peer_transport_settings settings, input_sink sink,
                   metrics& registry);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Errors: internal when the address cannot be bound.
    expected<void> start();
    [[nodiscard]] std::string address() const;

    void handle(peer_send&& message);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
