#include "proxy/record_cache.hpp"

#include <utility>

namespace wagtailhitch {

void record_cache::reset(std::vector<relayed_record> records, log_offset next)
{
    newest_.clear();
    complete_at_ = next;
    for (auto& record : records) {
        note(std::move(record));
    }
}

void record_cache::note(relayed_record record)
{
    std::string key = record.key;
    newest_.insert_or_assign(std::move(key), std::move(record));
}

relayed_records record_cache::since(std::string stream, log_offset from, log_offset next) const
{
    relayed_records out;
    out.stream = std::move(stream);
    out.snapshot = from < complete_at_;
    out.complete_from = from;
    out.next = next;
    for (const auto& [key, record] : newest_) {
        const bool wanted = out.snapshot ? !record.value.empty() : record.offset >= from;
        if (wanted) {
            out.records.push_back(record);
        }
    }
    return out;
}

} // namespace wagtailhitch
