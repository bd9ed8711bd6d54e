#pragma once

#include "routing/outlier_detector.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

// Tracks which replicas are likely to have a prompt prefix in their caches.
//
//   index.stored(replica, hashes);            // on a cache event, or after routing a prompt
//   auto matches = index.find(hashes, out);   // longest match first

namespace wagtailhitch {

/// A replica that has the first `blocks` blocks of a prompt in its cache. `doubtful`: cache events
/// were lost since the entry was stored, so the prefix may have been evicted.
struct prefix_match {
    replica_index replica{0};
    std::uint32_t blocks{0};
    bool doubtful{false};
};

/// Fixed-size hash table of (block hash, replica) pairs. A full bucket evicts its least recently
/// stored entry. Cache events arrive late and some are lost, so a match is only a hint.
class prefix_index {
public:
    static constexpr std::size_t ways = 8; ///< entries per bucket: limits the replicas per block

    /// `capacity`: number of entries of 16 bytes each, rounded up to a power of two, at least 64.
    explicit prefix_index(std::size_t capacity);

    void stored(replica_index replica, std::span<const std::uint64_t> hashes);
    void evicted(replica_index replica, std::span<const std::uint64_t> hashes);
    /// Records that events of the replica were lost: its entries are doubtful until stored again.
    void gap(replica_index replica);
    /// Invalidates all entries of a replica that restarted or was removed.
    void clear(replica_index replica);

    /// Fills `out` with the replicas that hold the longest prefixes, longest first, and returns how
    /// many. `hashes` are chained: if block i matches, the prompt is equal up to block i.
    std::size_t find(std::span<const std::uint64_t> hashes, std::span<prefix_match> out) const;
    /// Returns how many leading blocks of the prompt the replica is likely to hold.
    [[nodiscard]] prefix_match match(std::span<const std::uint64_t> hashes,
                                     replica_index replica) const;

    [[nodiscard]] std::size_t capacity() const { return entries_.size(); }

private:
    struct entry {
        std::uint64_t hash{0};
        std::uint16_t replica{0};
        std::uint16_t epoch{0}; ///< epoch of the replica when stored; 0 marks an empty entry
        std::uint32_t last_stored{0};
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
    void advance_epoch(replica_index replica);
    void store(replica_index replica, std::uint64_t hash);

    std::vector<entry> entries_;
    std::vector<replica_epochs> epochs_;
    std::uint32_t store_counter_{0};
};

} // namespace wagtailhitch
