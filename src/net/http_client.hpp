#pragma once

#include "net/input_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// An HTTP/1.1 client with a pool of kept connections for each address.
//
//   http_client client{io, {}, sender};
//   auto call = client.start({.address = "127.0.0.1:9000", .method = "GET", .target = "/v1/vms"},
//                            {.on_header = ..., .on_data = ..., .on_end = ...});
//   call->cancel();   // no hook runs after this
//
// on_end runs exactly once unless the call is cancelled. It is never repeated here: the caller
// decides by `call_failure` whether the request may have reached the server.

namespace wagtailhitch::detail {

enum class call_stage { connecting, sending, waiting, receiving };

/// How far a call came that has no complete answer.
struct call_failure {
    call_stage stage{call_stage::connecting};
    bool written{false};   ///< at least one byte of the request was handed to the connection
    bool timed_out{false}; ///< a deadline passed; otherwise the connection failed
    std::string detail;
};

struct http_call {
    std::string address;
    std::string method{"GET"};
    std::string target{"/"};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    duration first_byte_timeout{5s}; ///< from the start to the first byte of the answer's body
    duration progress_timeout{5s};   ///< between bytes of the answer's body
    std::size_t body_limit{std::size_t{1024} * 1024}; ///< 0: no limit, for streams
};

struct answer_head {
    unsigned status{0};
    std::string content_type;
    std::string request_id;  ///< header X-Request-Id, empty when absent
    std::string retry_after; ///< header Retry-After, empty when absent
};

struct http_hooks {
    std::function<void(answer_head)> on_header;
    std::function<void(std::string_view)> on_data;
    std::function<void(const call_failure*)> on_end; ///< nullptr: the answer is complete
};

struct http_client_settings {
    duration connect_timeout{1s};
    duration idle_timeout{30s}; ///< a kept connection that is older is not used again
    std::size_t idle_per_address{64};
    std::size_t header_limit{std::size_t{16} * 1024};
    duration sweep_interval{20ms};
};

class http_call_handle {
public:
    http_call_handle() = default;
    http_call_handle(const http_call_handle&) = delete;
    http_call_handle& operator=(const http_call_handle&) = delete;
    virtual ~http_call_handle() = default;

    /// Closes the connection; no hook runs afterwards.
    virtual void cancel() = 0;
};

using http_call_ptr = std::shared_ptr<http_call_handle>;

class http_client {
public:
    /// Reading pauses while `sender` is congested.
    http_client(boost::asio::io_context& io, http_client_settings settings, input_sender& sender);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    http_call_ptr start(http_call call, http_hooks hooks);
    /// Closes the kept connections to an address, so that the next call opens a new one.
    void forget(const std::string& address);

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch::detail
