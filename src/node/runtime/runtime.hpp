#pragma once

#include "net/caller_server.hpp"
#include "net/peer_transport.hpp"
#include "net/platform_client.hpp"
#include "net/upstream_client.hpp"
#include "node/messages.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

// Runs the threads of one process: callers, upstreams, platform, peers and decisions, connected by
// rings.
//
//   runtime node{settings, {handle, tick}, metrics};
//   if (auto started = node.start(); !started) { ... }
//   node.request_stop();   // stop_requested; ends when the core puts out `stopped`
//   node.wait();
//
// The core is a pair of functions, so that tests run the threads with a scripted core.

namespace wagtailhitch {

class metrics;

/// Callbacks to the core; both run on the decisions thread only.
struct core_hooks {
    std::function<void(const input&, time_point, std::vector<output>&)> handle;
    std::function<void(time_point, std::vector<output>&)> tick;
};

struct runtime_settings {
    caller_server_settings callers;
    upstream_client_settings upstreams;
    platform_client_settings platform;
    peer_transport_settings peers;
    std::size_t ring_entries{4096};
    duration tick_interval{10ms};
    bool handle_signals{false}; ///< SIGTERM and SIGINT become stop_requested
};

class runtime {
public:
    runtime(runtime_settings settings, core_hooks core, metrics& registry);
    ~runtime();
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;

    /// Binds the listeners and starts the threads. Errors: internal when an address is taken.
    expected<void> start();
    /// May be called on any thread.
    void request_stop();
    /// Returns when the core has put out `stopped` and every thread has ended.
    void wait();

    [[nodiscard]] std::string caller_address() const;
    [[nodiscard]] std::string peer_address() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace wagtailhitch
