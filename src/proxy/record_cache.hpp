#pragma once

#include "proxy/relayed_records.hpp"

#include <map>
#include <string>

// Holds the newest record of each key of a stream, to bring VMs up to date that missed some
// records.
//
//   cache.reset(newest_records, next);            // all keys of the stream
//   cache.update({"i-1", value, position});        // a change since then
//   relayed_records missed = cache.since(from, next);

namespace wagtailhitch {

class record_cache {
public:
    /// Replaces the contents by all keys of the stream as of `next`. The cache does not know which
    /// keys were dropped before.
    void reset(std::vector<relayed_record> records, log_position next);
    void update(relayed_record record);
    /// Returns the records that a VM needs that has read up to `from`. If keys may have been
    /// dropped that the cache does not know of, or `from` is of another epoch, these are the newest
    /// records of all keys, as a snapshot.
    [[nodiscard]] relayed_records since(std::string stream, log_position from,
                                        log_position next) const;

private:
    std::map<std::string, relayed_record>
        latest_records_; ///< empty value: dropped since snapshot_position_
    log_position snapshot_position_;
};

} // namespace wagtailhitch
