#pragma once

#include "net/endpoint.hpp"
#include "net/http2_channel.hpp"
#include "net/peer_codec.hpp"
#include "net/peer_transport.hpp"

#include <memory>
#include <string>

// One authenticated connection to another VM, opened by either side.
//
// The owner calls sweep() regularly; the connection reports through peer_host.

namespace wagtailhitch::detail {

class peer_connection;
using peer_connection_ptr = std::shared_ptr<peer_connection>;

/// What a connection needs from its owner. All calls are made on the peers thread.
class peer_host {
public:
    peer_host() = default;
    peer_host(const peer_host&) = delete;
    peer_host& operator=(const peer_host&) = delete;
    virtual ~peer_host() = default;

    [[nodiscard]] virtual const peer_transport_settings& settings() const = 0;
    [[nodiscard]] virtual input_sender& sender() = 0;
    virtual void authenticated(const peer_connection_ptr& connection) = 0;
    virtual void received(const peer_connection_ptr& connection, peer_frame frame) = 0;
    virtual void count_malformed() = 0;
    /// The other side did not authenticate itself.
    virtual void count_rejected() = 0;
    virtual void closed(const peer_connection_ptr& connection, const error& reason) = 0;
};

class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    peer_connection(peer_host& host, tcp_socket socket, peer_role role,
                    std::optional<vm_id> expected_vm);

    /// Connects, for clients; `address` is "IP:port".
    void connect(const std::string& address);
    /// Starts the handshake on an accepted socket.
    void begin();
    /// Returns false when the queue is full or the connection is not ready.
    [[nodiscard]] bool send(std::string frame);
    /// Sends a ping when due, and closes the connection when one of its timeouts has passed.
    void sweep(time_point now);
    void close(error_code code, const std::string& why);
    /// The owner sends nothing more; closes at `at`, when the other side has switched as well.
    void retire(time_point at) { retire_at_ = at; }
    [[nodiscard]] bool retiring() const { return retire_at_ != time_point{}; }
    /// Closes without reporting, because the owner is being destroyed.
    void close_without_report();

    [[nodiscard]] peer_role role() const { return role_; }
    [[nodiscard]] bool ready() const { return handshake_.done() && !closed_; }
    /// True when bytes arrived within the time in which the other side answers a ping.
    [[nodiscard]] bool recently_active(time_point now) const;
    /// True when no frame was sent or received for half of the idle timeout, so that closing the
    /// connection is not reported as a lost peer.
    [[nodiscard]] bool is_idle(time_point now) const;
    [[nodiscard]] const peer_identity& peer() const { return handshake_.peer(); }
    [[nodiscard]] const std::optional<vm_id>& expected() const { return expected_; }

private:
    using boost_error = boost::system::error_code;

    void read();
    void on_read(boost_error ec, std::size_t n);
    bool on_channel_data(std::string_view bytes);
    void reject(const std::string& why);
    bool handle_frame(std::string_view content);
    bool handle_handshake_frame(std::string_view content);
    void write();
    void on_written(boost_error ec);

    peer_host& host_;
    tcp_socket socket_;
    peer_role role_;
    std::optional<vm_id> expected_;
    peer_handshake handshake_;
    http2_channel channel_;
    frame_splitter splitter_;
    std::string input_;
    std::string output_;
    bool writing_{false};
    bool feeding_{false};
    bool closed_{false};
    error rejection_;
    time_point deadline_;         ///< of the handshake
    time_point last_received_at_; ///< last bytes from the other side
    time_point last_ping_at_;
    time_point last_frame_at_; ///< last frame in either direction
    time_point retire_at_{};
};

} // namespace wagtailhitch::detail
