#pragma once

#include "net/input_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// The HTTP/1.1 client for the log, the VM list and the rating service.
//
//   platform_client client{io, {.log_address = "127.0.0.1:9000"}, sink, metrics};
//   client.start();
//   client.handle(log_follow{"config", 0, true});   // log_batch after log_batch
//   client.handle(log_append{id, "bills", {...}});  // exactly one append_result
//
// An append whose reply was lost is reported with outcome_unknown; it is never repeated here.

namespace wagtailhitch {

class metrics;

struct platform_client_settings {
    std::string log_address;     ///< "IP:port"
    std::string vm_list_address; ///< empty: the VM list is not polled
    std::string rating_address;  ///< empty: ratings are not polled
    duration connect_timeout{1s};
    duration append_timeout{5s};
    duration poll_wait{500ms};    ///< long-poll wait requested from the log
    duration response_margin{2s}; ///< a poll times out after the wait plus this
    duration poll_interval{1s};   ///< of the VM list and of the ratings
    duration backoff_first{100ms};
    duration backoff_limit{2s};
    std::size_t max_poll_records{500};
    std::size_t body_limit{std::size_t{16} * 1024 * 1024};
    std::size_t record_limit{std::size_t{64} * 1024};
    duration sweep_interval{20ms};
    std::uint64_t seed{1}; ///< of the jitter
};

class platform_client {
public:
    platform_client(boost::asio::io_context& io, platform_client_settings settings, input_sink sink,
                    metrics& registry);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Starts the polls of the VM list and the ratings.
    void start();
    void handle(log_append&& message);
    void handle(log_follow&& message);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
