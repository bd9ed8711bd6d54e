#pragma once

#include "net/input_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// The HTTP/1.1 server for callers.
//
//   caller_server server{io, {.address = "127.0.0.1:0"}, sink, metrics};
//   server.start();                                  // server.address() has the chosen port
//   server.handle(answer_start{caller, ...});        // passes an output of the decision thread
//
// Call every function on the thread that runs `io`, or before `io` runs. Each request becomes one
// caller_request with a new caller_token. Outputs are matched to connections by that token alone;
// an output whose caller has disconnected is dropped and counted.

namespace wagtailhitch {

class metrics;

struct caller_server_settings {
    std::string address{"127.0.0.1:0"}; ///< "IP:port"; port 0 lets the kernel choose
    std::size_t header_limit{std::size_t{16} * 1024};
    std::size_t body_limit{std::size_t{1024} * 1024};
    std::size_t prompt_limit{std::size_t{512} * 1024};
    /// Unwritten bytes of one answer above which the connection of a slow caller is closed.
    std::size_t write_limit{std::size_t{256} * 1024};
    std::size_t connection_limit{4096};
    duration header_timeout{10s}; ///< from the first byte of a request to its last
    duration idle_timeout{75s};   ///< between requests of one connection
    duration write_timeout{10s};  ///< without progress while an answer is waiting to be written
    duration sweep_interval{50ms};
};

class caller_server {
public:
    caller_server(boost::asio::io_context& io, caller_server_settings settings, input_sink sink,
                  metrics& registry);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Starts to accept connections. Errors: internal when the address cannot be bound.
    expected<void> start();
    /// The "IP:port" on which the server listens.
    [[nodiscard]] std::string address() const;

    void handle(answer_start&& message);
    void handle(answer_chunk&& message);
    void handle(answer_end&& message);
    void handle(answer_whole&& message);
    void handle(answer_error&& message);
    void handle(published_state&& message);

    /// From now on `/readyz` returns 503 and connections close after their answer, so that callers
    /// move to other nodes. New connections are still accepted.
    void drain();
    /// Stops accepting connections and closes those for which no answer is due.
    void close_idle();
    /// True when no answer is due and all output has been written.
    [[nodiscard]] bool is_idle() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
