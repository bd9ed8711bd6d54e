#pragma once

#include "net/input_sender.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// The HTTP/1.1 client for engines and plain services.
//
//   upstream_client client{io, {}, sink, metrics};
//   client.handle(attempt_start{...});   // attempt_started, attempt_chunk..., attempt_finished
//
// Each attempt_start yields exactly one attempt_finished or attempt_failed, unless it is cancelled,
// in which case nothing further is reported. `reason.run` of a failure:
//
//   not_run          nothing was written, or the upstream refused before it began (4xx to a chat,
//                    503 to anything)
//   outcome_unknown  the request may have reached the upstream and no usable answer came back
//   ran              the answer began, and then was malformed or said that it failed
//
// A service's answer is passed on with whatever status it has, except 503.

namespace wagtailhitch {

class metrics;

struct upstream_client_settings {
    duration connect_timeout{1s};
    duration probe_timeout{2s};
    duration order_timeout{10s};
    duration cancel_timeout{2s};
    duration idle_timeout{30s}; ///< a pooled connection older than this is not reused
    std::size_t idle_per_upstream{64};
    std::size_t chunk_limit{std::size_t{64} * 1024};  ///< one event of a stream
    std::size_t body_limit{std::size_t{1024} * 1024}; ///< one whole answer of a plain service
    duration sweep_interval{20ms};
    /// Longest time for which an upstream that asks for quiet is set aside.
    duration longest_quiet{60s};
    clock_source clock{boot_clock_source()};
};

class upstream_client {
public:
    upstream_client(boost::asio::io_context& io, const upstream_client_settings& settings,
                    input_sink sink, metrics& registry);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    void handle(attempt_start&& message);
    void handle(attempt_cancel&& message);
    void handle(probe_upstream&& message);
    void handle(upstream_order&& message);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhitch
