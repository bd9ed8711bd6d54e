#pragma once

#include "routing/outlier_detector.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

// Which replicas are thought to hold which prompt prefixes in their caches.
//
//   index.stored(replica, hashes);            // from cache events, or after routing a prompt
//   auto matches = index.find(hashes, out);   // longest match first

namespace wagtailhitch {

/// One replica that holds the first `blocks` blocks of a prompt. `doubtful`: cache events were
/// lost since the entry was made, so the prefix may have been evicted.
struct prefix_match {
    replica_index replica{0};
    std::uint32_t blocks{0};
    bool doubtful{false};
};

/// Fixed-size table of (block hash, replica) with eviction of the least recently stored entry of a
/// bucket. Cache events arrive late and with gaps, so a match is a hint.
class prefix_index {
public:
    static constexpr std::size_t ways = 8; ///< replicas remembered for one block

    /// `capacity`: entries, 16 bytes each, rounded up to a power of two of at least 64.
    explicit prefix_index(std::size_t capacity);

    void stored(replica_index replica, std::span<const std::uint64_t> hashes);
    void evicted(replica_index replica, std::span<const std::uint64_t> hashes);
    /// Events of the replica were lost: its entries become doubtful until stored again.
    void gap(replica_index replica);
    /// The replica restarted or was removed: its entries no longer match.
    void clear(replica_index replica);

    /// Fills `out` with holders of the longest prefixes, longest first; returns how many.
    /// `hashes` are chained, so holding block i implies a prompt equal up to block i.
    std::size_t find(std::span<const std::uint64_t> hashes, std::span<prefix_match> out) const;
    /// Blocks of the prompt that the replica is thought to hold.
    [[nodiscard]] prefix_match match(std::span<const std::uint64_t> hashes,
                                     replica_index replica) const;

    [[nodiscard]] std::size_t capacity() const { return entries_.size(); }

private:
    struct entry {
        std::uint64_t hash{0};
        std::uint16_t replica{0};
        std::uint16_t epoch{0}; ///< of the replica when stored; 0 marks an empty entry
        std::uint32_t used{0};
    };
    struct replica_epochs {
        std::uint16_t current{1};
        std::uint16_t valid_from{1};
        std::uint16_t certain_from{1};
    };

    [[nodiscard]] std::span<const entry> bucket(std::uint64_t hash) const;
    [[nodiscard]] bool valid(const entry& item) const;
    [[nodiscard]] bool doubtful(const entry& item) const;
    replica_epochs& epochs(replica_index replica);
    void advance(replica_index replica);
    void store(replica_index replica, std::uint64_t hash);

    std::vector<entry> entries_;
    std::vector<replica_epochs> epochs_;
    std::uint32_t clock_{0};
};

} // namespace wagtailhitch
