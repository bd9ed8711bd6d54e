#pragma once

#include "proxy/relayed_records.hpp"

#include <map>
#include <string>

// The newest record of each key of a stream, for VMs that have missed some.
//
//   cache.reset(newest_records, next);            // all keys of the stream
//   cache.note({"i-1", value, offset});           // a change since then
//   relayed_records missed = cache.since(from, next);

namespace wagtailhitch {

class record_cache {
public:
    /// All keys of the stream as of `next`. Keys that were dropped before are not known.
    void reset(std::vector<relayed_record> records, log_offset next);
    void note(relayed_record record);
    /// What a VM that has read up to `from` misses; all keys when that includes dropped ones.
    [[nodiscard]] relayed_records since(std::string stream, log_offset from, log_offset next) const;

private:
    std::map<std::string, relayed_record> newest_; ///< an empty value: dropped since `complete_at_`
    log_offset complete_at_{0};
};

} // namespace wagtailhitch
