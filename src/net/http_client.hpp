#pragma once

#include "net/input_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// An HTTP/1.1 client with a pool of idle keep-alive connections for each address.
//
//   http_client client{io, {}, sender};
//   auto call = client.start({.address = "127.0.0.1:9000", .method = "GET", .target = "/v1/vms"},
//                            {.on_header = ..., .on_data = ..., .on_end = ...});
//   call->cancel();   // no hook runs after this
//
// on_end runs exactly once unless the call is cancelled. The client never retries: the caller
// decides from `call_failure`, which says whether the request may have reached the server.

namespace wagtailhitch::detail {

enum class call_stage { connecting, sending, waiting, receiving };

/// How far a call got that received no complete response.
struct call_failure {
    call_stage stage{call_stage::connecting};
    bool written{false};   ///< at least one byte of the request may have been sent
    bool timed_out{false}; ///< a deadline passed; otherwise the connection failed
    bool withdrawn{false}; ///< http_hooks::may_send returned false
    bool refused{false};   ///< no process listens at the address
    std::string detail;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_call {
    std::string address;
    std::string host; ///< value of the Host header; empty: the address
    std::string method{"GET"};
    std::string target{"/"};
    header_list headers;
    std::string body;
    /// Sent instead of `body` when set, so that retries of a request need no copy of the body.
    std::shared_ptr<const std::string> shared_body;
    /// A pooled connection that has been idle for longer is not used; 0: always opens a new one.
    duration reuse_within{std::chrono::hours{1}};
    duration first_byte_timeout{5s}; ///< from the start to the first byte of the response body
    duration progress_timeout{5s};   ///< between bytes of the response body
    std::size_t body_limit{std::size_t{1024} * 1024}; ///< 0: no limit, for streams
};

struct answer_head {
    unsigned status{0};
    std::string content_type;
    std::string request_id;           ///< header X-Request-Id, empty when absent
    std::string retry_after;          ///< header Retry-After, empty when absent
    bool on_reused_connection{false}; ///< another exchange on the connection preceded this one
    header_list headers;              ///< all headers, in the order of arrival
    std::optional<std::uint64_t> body_length; ///< as announced, if bytes of the body are to come
};

struct http_hooks {
    std::function<void(answer_head)> on_header;
    std::function<void(std::string_view)> on_data;
    std::function<void(const call_failure*)> on_end; ///< nullptr: the response is complete
    /// Asked right before the first byte of the request is written; if it returns false, the call
    /// fails with nothing written. Not set: always.
    std::function<bool()> may_send{};
};

struct http_client_settings {
    duration connect_timeout{1s};
    duration idle_timeout{30s}; ///< a connection that is idle for longer is closed
    std::size_t idle_per_address{64};
    std::size_t header_limit{std::size_t{16} * 1024};
    /// Most bytes of a response that are neither header nor body: chunk sizes and extensions,
    /// trailers and informational responses. Grows with the body.
    std::size_t framing_limit{std::size_t{64} * 1024};
    duration sweep_interval{20ms};
    /// The connection fails when sent data stays unacknowledged for longer, or when it is idle for
    /// that long and its peer does not answer keep-alive probes; 0: the system's defaults.
    duration unacknowledged_timeout{0};
    /// Size in bytes that is asked for the receive buffer of a connection's socket, which bounds
    /// what a paused call leaves there; 0: the system's default.
    int receive_buffer{0};
    /// Asked before a connection is opened. If it returns false, idle connections are closed and
    /// the call fails with nothing written. Not set: always.
    std::function<bool()> may_connect{};
};

class http_call_handle {
public:
    http_call_handle() = default;
    http_call_handle(const http_call_handle&) = delete;
    http_call_handle& operator=(const http_call_handle&) = delete;
    virtual ~http_call_handle() = default;

    /// Closes the connection; no hook runs afterwards.
    virtual void cancel() = 0;
    /// Stops reading after the bytes that have been read, so that the server stops sending once the
    /// connection's buffers are full. No deadline passes meanwhile.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

using http_call_ptr = std::shared_ptr<http_call_handle>;

class http_client {
public:
    /// Reading pauses while `sender` is congested; without a sender it never does.
    http_client(boost::asio::io_context& io, http_client_settings settings,
                input_sender* sender = nullptr);
    http_client(boost::asio::io_context& io, http_client_settings settings, input_sender& sender)
        : http_client{io, std::move(settings), &sender}
    {
    }
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// A response may start before the request is completely sent. If it also ends before that, the
    /// connection is not reused.
    http_call_ptr start(http_call call, http_hooks hooks);
    /// Closes the idle connections to an address, so that the next call opens a new one.
    void close_idle_connections(const std::string& address);
    /// Connections opened so far.
    [[nodiscard]] std::uint64_t connections_opened() const;
    /// Connections that are open or being opened, idle ones as well.
    [[nodiscard]] std::size_t open_connections() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch::detail
