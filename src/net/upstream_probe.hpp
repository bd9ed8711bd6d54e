#pragma once

#include "net/whole_answer.hpp"
#include "node/messages.hpp"

#include <functional>
#include <optional>
#include <string>

// Encodes and parses the bodies of probes, cache events and orders. Performs no I/O.
//
//   probe_result result = parse_probe(probe, answer);

namespace wagtailhitch::detail {

/// Unreachable when there is no answer with status 200; a service's body may be anything.
probe_result parse_probe(const probe_upstream& probe, const whole_answer& answer);

struct cache_event_page {
    cache_events events;
    std::uint64_t next{0}; ///< to ask from next time
};

/// Reads `{"next","gap","stored":[hash],"evicted":[hash]}`. An answer that cannot be read counts as
/// a gap; no answer at all leaves the position as it was.
cache_event_page parse_cache_events(const upstream_id& upstream, std::uint64_t from,
                                    const whole_answer& answer);

std::string order_body(const upstream_order& order);
order_result parse_order_result(const upstream_order& order, const whole_answer& answer);

} // namespace wagtailhitch::detail
