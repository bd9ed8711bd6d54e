#pragma once

#include "net/proxy/proxied_exchange.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

// The HTTP/1.1 servers of a VM that proxies requests: one for callers, and one for pages such as
// readiness and metrics.
//
//   proxy_server callers{context, {.address = "10.1.0.40:8227"}};
//   callers.start();
//   callers.drain();        // answers say that the connection closes
//   callers.close_idle();
//   callers.quiet();        // no answer is due

namespace wagtailhitch {

struct served_page {
    unsigned status{200};
    std::string content_type;
    std::string body;
};

struct proxy_server_settings {
    std::string address; ///< "IP:port"
    std::size_t connection_limit{
        3000}; ///< below a VM's limit of file descriptors, which replicas also need
    /// Asked for a new connection: whether a descriptor is left for it. If not, the connection that
    /// has waited for a request for the longest is closed. Not set: always.
    std::function<bool()> descriptor_left{};
    /// Limit of pipelined bytes that wait for the request in progress.
    std::size_t read_ahead{std::size_t{64} * 1024};
    std::size_t write_backlog{std::size_t{8} * 1024 *
                              1024}; ///< bytes waiting for one caller that does not read
    /// Bytes that wait for a caller, beyond which nothing more is read for it from its replica.
    std::size_t pause_above{std::size_t{64} * 1024};
    /// A caller that takes no byte of its answer for this long is closed.
    duration write_timeout{20s};
    /// After a refusal of a request that was not read to its end, at most this many bytes are read
    /// for at most this long, so that the refusal reaches the caller.
    std::size_t linger_bytes{std::size_t{1024} * 1024};
    duration linger_timeout{1s};
    /// Bytes that are asked for the send and for the receive buffer of a caller's socket; 0: the
    /// system's default.
    int socket_buffer{0};
    /// Set for pages: answers the request instead of proxying it; nullopt means 404.
    std::function<std::optional<served_page>(std::string_view method, std::string_view path)> page;
};

class proxy_server {
public:
    proxy_server(proxy_context& context, proxy_server_settings settings);
    ~proxy_server();
    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    /// Errors: internal when the address cannot be bound.
    expected<void> start();
    [[nodiscard]] std::string address() const;
    void drain();
    /// Closes connections without a pending answer on which no request is arriving; the others
    /// close after their answer.
    void close_idle();
    /// Ignores requests for new connections, so that none completes while the listening socket
    /// closes; those that are being opened are still accepted.
    void ignore_new_connections();
    /// Accepts the connections that wait and no further ones.
    void stop_accepting();
    /// Ends all requests in progress with the answers that are possible now.
    void end_requests();
    /// Whether a request is being answered by a replica, or waits for one.
    [[nodiscard]] bool answering() const;
    /// Whether no answer is pending and no request is arriving.
    [[nodiscard]] bool quiet() const;
    [[nodiscard]] std::size_t connections() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
