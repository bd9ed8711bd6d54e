#include "proxy/record_cache.hpp"

#include <utility>

namespace wagtailhitch {

void record_cache::reset(std::vector<relayed_record> records, log_position next)
{
    latest_records_.clear();
    snapshot_position_ = next;
    for (auto& record : records) {
        update(std::move(record));
    }
}

void record_cache::update(relayed_record record)
{
    std::string key = record.key;
    latest_records_.insert_or_assign(std::move(key), std::move(record));
}

relayed_records record_cache::since(std::string stream, log_position from, log_position next) const
{
    relayed_records out;
    out.stream = std::move(stream);
    out.snapshot = from.epoch != next.epoch || from < snapshot_position_;
    out.complete_from = {next.epoch, out.snapshot ? 0 : from.offset};
    out.next = next;
    for (const auto& [key, record] : latest_records_) {
        const bool included = out.snapshot ? !record.value.empty() : record.position >= from;
        if (included) {
            out.records.push_back(record);
        }
    }
    return out;
}

} // namespace wagtailhitch
