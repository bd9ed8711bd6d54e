#pragma once

#include "net/peer_handshake.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

// One HTTP/2 session that carries a byte stream in each direction, independent of the socket. The
// streams are the bodies of one POST request to /v1/frames and of its response; both stay open.
//
//   http2_channel channel{peer_role::client, hooks};
//   channel.send(bytes);
//   while (auto out = channel.take_output(); !out.empty()) { socket.write(out); }
//   if (!channel.feed(received)) { close(); }

namespace wagtailhitch::detail {

struct http2_hooks {
    /// Called with body bytes from the remote side. Returning false ends the channel.
    std::function<bool(std::string_view)> on_bytes;
};

class http2_channel {
public:
    http2_channel(peer_role role, http2_hooks hooks);
    ~http2_channel();
    http2_channel(const http2_channel&) = delete;
    http2_channel& operator=(const http2_channel&) = delete;

    /// Processes bytes read from the socket. Returns false when the session failed or has ended.
    [[nodiscard]] bool feed(std::string_view bytes);
    /// Queues body bytes.
    void send(std::string bytes);
    void ping();
    /// Returns the next bytes to write to the socket; empty when there are none now.
    [[nodiscard]] std::string take_output();
    /// Body bytes that are still queued because of flow control or a slow socket.
    [[nodiscard]] std::size_t queued_bytes() const;
    [[nodiscard]] std::size_t queued_messages() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace wagtailhitch::detail
