#pragma once

#include "node/core_settings.hpp"
#include "node/messages.hpp"

#include <memory>
#include <vector>

// Decision logic of one VM: takes events from the I/O threads and returns instructions to them.
//
//   node_core core{settings, metrics, clock()};
//   core.handle(attempt_chunk{...}, clock(), outputs);
//   core.tick(clock(), outputs);          // at least every 10 ms
//
// Uses no sockets, threads, globals or clock, so that tests can run the production code with
// simulated time.

namespace wagtailhitch {

class metrics;

class node_core {
public:
    node_core(core_settings settings, metrics& registry, time_point now);
    ~node_core();
    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    void handle(const input& in, time_point now, std::vector<output>& out);
    void tick(time_point now, std::vector<output>& out);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace wagtailhitch
