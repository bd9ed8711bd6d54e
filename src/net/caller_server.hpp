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
//   server.handle(answer_start{caller, ...});        // outputs of the decision thread
//
// Every function runs on the thread of `io`, except before it runs. A request becomes one
// caller_request with a fresh caller_token; outputs are matched to connections by that token alone.
// An output whose caller is gone is dropped and counted.

namespace wagtailhitch {

class metrics;

struct caller_server_settings {
    std::string address{"127.0.0.1:0"}; ///< "IP:port"; port 0 lets the kernel choose
    std::size_t header_limit{std::size_t{16} * 1024};
    std::size_t body_limit{std::size_t{1024} * 1024};
    std::size_t prompt_limit{std::size_t{512} * 1024};
    /// Bytes of one answer that wait for a slow caller before it is given up.
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

    /// Errors: internal when the address cannot be bound.
    expected<void> start();
    /// "IP:port" that is listened on.
    [[nodiscard]] std::string address() const;

    void handle(answer_start&& message);
    void handle(answer_chunk&& message);
    void handle(answer_end&& message);
    void handle(answer_whole&& message);
    void handle(answer_error&& message);
    void handle(published_state&& message);

    /// From now on `/readyz` says no and answers close their connections, so that callers move to
    /// other nodes; new connections are still accepted.
    void drain();
    /// Accepts no further connections and closes those without an answer due.
    void close_idle();
    /// True when no answer is due and everything was written.
    [[nodiscard]] bool quiet() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
