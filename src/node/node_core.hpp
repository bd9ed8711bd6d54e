#pragma once

#include "node/core_settings.hpp"
#include "node/messages.hpp"

#include <memory>
#include <vector>

// All decisions of one VM: facts from the I/O threads go in, instructions to them come out.
//
//   node_core core{settings, metrics, clock()};
//   core.handle(attempt_chunk{...}, clock(), outputs);
//   core.tick(clock(), outputs);          // at least every 10 ms
//
// Uses no socket, thread, global or clock. The same object runs in production and in tests that
// advance the time themselves.

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
