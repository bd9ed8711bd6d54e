#pragma once

#include "server.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

// The prompt prefixes that an engine caches, and the events it publishes about them.
//
//   prefix_cache cache{256, 50};
//   auto hashes = prefix_hashes(prompt);
//   std::size_t cached = cache.use(hashes, now);   // blocks that need no prompt processing
//   json page = cache.events_from(0, now - lag);

namespace wagtailhitch::standins {

inline constexpr std::size_t prefix_block_bytes = 1024;

/// Chained hashes of the complete 1 KiB blocks of a prompt: each one covers all text before it.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

class prefix_cache {
public:
    /// Every `gap`-th event is never published; 0 loses none.
    prefix_cache(std::uint64_t blocks, std::uint64_t gap)
        : capacity_{blocks}, lost_event_interval_{gap}
    {
    }

    /// Returns how many leading blocks were cached, then caches all of them.
    std::size_t use(const std::vector<std::uint64_t>& hashes, time_point now);
    void clear(time_point now);

    /// Events from position `from` that happened up to `until`. Lost events leave a gap in the
    /// positions and set `gap`.
    [[nodiscard]] json events_from(std::uint64_t from, time_point until) const;
    [[nodiscard]] std::size_t size() const { return lru_order_.size(); }

private:
    struct cache_event {
        std::uint64_t position;
        bool stored;
        std::uint64_t hash;
        time_point at;
    };

    void publish(bool stored, std::uint64_t hash, time_point now);

    std::uint64_t capacity_;
    std::uint64_t lost_event_interval_;
    std::list<std::uint64_t> lru_order_; ///< least recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::deque<cache_event> events_;
    std::uint64_t next_event_{0};
};

} // namespace wagtailhitch::standins
