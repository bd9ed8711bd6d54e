#include "routing/prefix_index.hpp"

#include <algorithm>
#include <bit>
#include <limits>

namespace wagtailhitch {

namespace {

constexpr std::size_t min_capacity = 64;

// Number of positions, from the longest match downwards, that are searched for replicas.
constexpr std::size_t further_positions = 4;

constexpr auto last_epoch = std::numeric_limits<std::uint16_t>::max();

// Finds by binary search the length of the range [0, result) of positions that satisfy `holds`.
// Requires that if a position satisfies it, so do all earlier ones.
template<typename Predicate> std::size_t partition_length(std::size_t size, Predicate holds)
{
    std::size_t low = 0;
    std::size_t high = size;
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        if (holds(middle)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

} // namespace

prefix_index::prefix_index(std::size_t capacity)
    : entries_(std::bit_ceil(std::max(capacity, min_capacity)))
{
}

void prefix_index::stored(replica_index replica, std::span<const std::uint64_t> hashes)
{
    for (const std::uint64_t hash : hashes) {
        store(replica, hash);
    }
}

void prefix_index::evicted(replica_index replica, std::span<const std::uint64_t> hashes)
{
    for (const std::uint64_t hash : hashes) {
        for (const entry& item : bucket(hash)) {
            if (item.epoch != 0 && item.hash == hash && item.replica == replica) {
                entries_[static_cast<std::size_t>(&item - entries_.data())].epoch = 0;
            }
        }
    }
}

void prefix_index::gap(replica_index replica)
{
    advance_epoch(replica);
    replica_epochs& known = epochs(replica);
    known.certain_from = known.current;
}

void prefix_index::clear(replica_index replica)
{
    advance_epoch(replica);
    replica_epochs& known = epochs(replica);
    known.valid_from = known.current;
    known.certain_from = known.current;
}

std::size_t prefix_index::find(std::span<const std::uint64_t> hashes,
                               std::span<prefix_match> out) const
{
    const auto held = [&](std::size_t position) {
        return std::ranges::any_of(bucket(hashes[position]), [&](const entry& item) {
            return item.hash == hashes[position] && valid(item);
        });
    };
    const std::size_t longest = partition_length(hashes.size(), held);
    const std::size_t stop = longest > further_positions ? longest - further_positions : 0;
    std::size_t count = 0;
    for (std::size_t i = longest; i > stop; --i) {
        for (const entry& item : bucket(hashes[i - 1])) {
            const auto found = out.first(count);
            const bool known = std::ranges::any_of(
                found, [&](const prefix_match& match) { return match.replica == item.replica; });
            if (count == out.size() || known || item.hash != hashes[i - 1] || !valid(item)) {
                continue;
            }
            out[count++] = {item.replica, static_cast<std::uint32_t>(i), doubtful(item)};
        }
    }
    return count;
}

prefix_match prefix_index::match(std::span<const std::uint64_t> hashes, replica_index replica) const
{
    prefix_match best{.replica = replica};
    const auto held = [&](std::size_t position) {
        const auto items = bucket(hashes[position]);
        const auto it = std::ranges::find_if(items, [&](const entry& item) {
            return item.replica == replica && item.hash == hashes[position] && valid(item);
        });
        if (it == items.end()) {
            return false;
        }
        best.doubtful = doubtful(*it);
        return true;
    };
    best.blocks = static_cast<std::uint32_t>(partition_length(hashes.size(), held));
    return best;
}

std::span<const prefix_index::entry> prefix_index::bucket(std::uint64_t hash) const
{
    const std::size_t buckets = entries_.size() / ways;
    // The multiplication distributes hashes that differ only in a few bits.
    const std::size_t position = ((hash * 0x9e3779b97f4a7c15ULL) >> 32U) & (buckets - 1);
    return std::span{entries_}.subspan(position * ways, ways);
}

bool prefix_index::valid(const entry& item) const
{
    return item.epoch != 0 && item.replica < epochs_.size() &&
           item.epoch >= epochs_[item.replica].valid_from;
}

bool prefix_index::doubtful(const entry& item) const
{
    return item.epoch < epochs_[item.replica].certain_from;
}

prefix_index::replica_epochs& prefix_index::epochs(replica_index replica)
{
    if (replica >= epochs_.size()) {
        epochs_.resize(replica + 1);
    }
    return epochs_[replica];
}

void prefix_index::advance_epoch(replica_index replica)
{
    replica_epochs& known = epochs(replica);
    if (known.current < last_epoch) {
        ++known.current;
        return;
    }
    for (entry& item : entries_) {
        if (item.replica == replica) {
            item.epoch = 0;
        }
    }
    known = {};
}

void prefix_index::store(replica_index replica, std::uint64_t hash)
{
    if (replica > std::numeric_limits<std::uint16_t>::max()) {
        return;
    }
    const std::uint16_t epoch = epochs(replica).current;
    const auto items = bucket(hash);
    const auto first = static_cast<std::size_t>(items.data() - entries_.data());
    std::size_t victim = first;
    for (std::size_t i = first; i < first + ways; ++i) {
        const entry& item = entries_[i];
        if (item.hash == hash && item.replica == replica) {
            victim = i;
            break;
        }
        const bool empty = !valid(item);
        const bool older =
            store_counter_ - item.last_stored > store_counter_ - entries_[victim].last_stored;
        if (valid(entries_[victim]) && (empty || older)) {
            victim = i;
        }
    }
    entries_[victim] = {hash, static_cast<std::uint16_t>(replica), epoch, store_counter_++};
}

} // namespace wagtailhitch
