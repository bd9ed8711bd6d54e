#include "prefix_cache.hpp"

#include "base/digest.hpp"

namespace wagtailhitch::standins {

namespace {

constexpr std::size_t max_events = 4096;
constexpr std::size_t max_events_per_page = 512;

} // namespace

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> out;
    std::uint64_t seed = 0;
    while (prompt.size() >= prefix_block_bytes) {
        seed = hash64(prompt.substr(0, prefix_block_bytes), seed);
        out.push_back(seed);
        prompt.remove_prefix(prefix_block_bytes);
    }
    return out;
}

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& hashes, time_point now)
{
    std::size_t cached = 0;
    while (cached < hashes.size() && blocks_.contains(hashes[cached])) {
        ++cached;
    }
    for (const std::uint64_t it : hashes) {
        const auto found = blocks_.find(it);
        if (found != blocks_.end()) {
            lru_order_.splice(lru_order_.end(), lru_order_, found->second);
            continue;
        }
        blocks_[it] = lru_order_.insert(lru_order_.end(), it);
        publish(true, it, now);
    }
    while (lru_order_.size() > capacity_) {
        const std::uint64_t oldest = lru_order_.front();
        lru_order_.pop_front();
        blocks_.erase(oldest);
        publish(false, oldest, now);
    }
    return cached;
}

void prefix_cache::clear(time_point now)
{
    for (const std::uint64_t it : lru_order_) {
        publish(false, it, now);
    }
    lru_order_.clear();
    blocks_.clear();
}

void prefix_cache::publish(bool stored, std::uint64_t hash, time_point now)
{
    const std::uint64_t position = next_event_++;
    if (lost_event_interval_ != 0 && position % lost_event_interval_ == lost_event_interval_ - 1) {
        return;
    }
    events_.push_back({position, stored, hash, now});
    if (events_.size() > max_events) {
        events_.pop_front();
    }
}

json prefix_cache::events_from(std::uint64_t from, time_point until) const
{
    json stored = json::array();
    json evicted = json::array();
    std::uint64_t next = from;
    bool gap = false;
    for (const cache_event& it : events_) {
        if (it.position < from) {
            continue;
        }
        if (it.at > until || stored.size() + evicted.size() >= max_events_per_page) {
            break;
        }
        gap = gap || it.position != next;
        next = it.position + 1;
        (it.stored ? stored : evicted).push_back(it.hash);
    }
    return {{"next", next}, {"gap", gap}, {"stored", stored}, {"evicted", evicted}};
}

} // namespace wagtailhitch::standins
