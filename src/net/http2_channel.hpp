#pragma once

#include "net/peer_handshake.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

// One HTTP/2 session that carries a stream of bytes in each direction, apart from its socket: the
// bodies of one POST request to /v1/frames and of its response, which both stay open.
//
//   http2_channel channel{peer_role::client, hooks};
//   channel.send(bytes);
//   while (auto out = channel.take_output(); !out.empty()) { socket.write(out); }
//   if (!channel.feed(received)) { close(); }

namespace wagtailhitch::detail {

struct http2_hooks {
    /// Body bytes of the other side; returning false ends the channel.
    std::function<bool(std::string_view)> on_bytes;
};

class http2_channel {
public:
    http2_channel(peer_role role, http2_hooks hooks);
    ~http2_channel();
    http2_channel(const http2_channel&) = delete;
    http2_channel& operator=(const http2_channel&) = delete;

    /// Takes bytes from the socket. False when the session is broken or at its end.
    [[nodiscard]] bool feed(std::string_view bytes);
    /// Queues body bytes.
    void send(std::string bytes);
    void ping();
    /// Bytes for the socket; empty when there are none now.
    [[nodiscard]] std::string take_output();
    /// Body bytes that flow control or the socket has not let through yet.
    [[nodiscard]] std::size_t queued_bytes() const;
    [[nodiscard]] std::size_t queued_messages() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace wagtailhitch::detail
