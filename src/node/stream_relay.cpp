#include "node/stream_relay.hpp"

#include <algorithm>

namespace wagtailhitch {

stream_relay::stream_relay(std::string stream, relay_settings settings)
    : stream_{std::move(stream)}, settings_{settings}
{
}

void stream_relay::set_topology(bool reads_log, std::vector<vm_id> sources,
                                std::vector<vm_id> peers, std::vector<relay_output>& out)
{
    if (reads_log != reads_log_) {
        out.emplace_back(relay_follow{next_, reads_log});
    }
    reads_log_ = reads_log;
    sources_ = std::move(sources);
    peers_ = std::move(peers);
}

void stream_relay::append_record(const log_record& record, relay_update& update)
{
    next_ = record.offset + 1;
    cache_.push_back(record);
    cache_bytes_ += record.data.size();
    while (cache_.size() > settings_.cache_records || cache_bytes_ > settings_.cache_bytes) {
        cache_bytes_ -= cache_.front().data.size();
        cache_.pop_front();
    }
    update.records.push_back(record);
}

void stream_relay::skip_to(log_offset oldest, relay_update& update)
{
    oldest_ = std::max(oldest_, oldest);
    if (oldest <= next_) {
        return;
    }
    update.expired_before = oldest;
    next_ = oldest;
    cache_.clear();
    cache_bytes_ = 0;
}

relay_update stream_relay::on_log(const log_batch& batch, time_point now,
                                  std::vector<relay_output>& out)
{
    relay_update update;
    skip_to(batch.oldest, update);
    for (const auto& record : batch.records) {
        if (record.offset == next_) {
            append_record(record, update);
        }
    }
    if (next_ >= batch.head) {
        confirmed_at_ = std::max(confirmed_at_, batch.asked_at);
    }
    if (!update.records.empty()) {
        for (const auto& peer : peers_) {
            auto message = make_answer(update.records.front().offset);
            message.confirmed_age = now - confirmed_at_;
            out.emplace_back(relay_records{peer, std::move(message)});
        }
    }
    return update;
}

relay_update stream_relay::on_records(const vm_id& from, const records_message& message,
                                      time_point now, std::vector<relay_output>& out)
{
    relay_update update;
    const bool answers =
        message.correlation_id && *message.correlation_id == pending_correlation_id_;
    const auto asked_at = asked_at_;
    if (answers) {
        pending_correlation_id_ = 0;
        skip_to(message.oldest, update);
    }
    for (const auto& record : message.records) {
        if (record.offset == next_) {
            append_record(record, update);
        }
    }
    const bool behind = !message.records.empty() && message.records.back().offset >= next_;
    const bool more = answers && !message.records.empty() && next_ < message.next;
    if (behind || more) {
        pending_correlation_id_ = next_correlation_id_++;
        asked_at_ = now;
        out.emplace_back(relay_request{from, {next_, false, pending_correlation_id_}});
    }
    // The age was measured after the request was sent, so subtracting it from the send time can
    // only make the confirmation appear older than it is.
    if (answers && message.confirmed_age && next_ >= message.next) {
        confirmed_at_ = std::max(confirmed_at_, asked_at - *message.confirmed_age);
    }
    return update;
}

records_message stream_relay::make_answer(log_offset from) const
{
    records_message message;
    message.next = next_;
    message.oldest = oldest_;
    std::size_t bytes = 0;
    for (const auto& record : cache_) {
        if (record.offset < from) {
            continue;
        }
        bytes += record.data.size();
        if (bytes > settings_.answer_bytes && !message.records.empty()) {
            break;
        }
        message.records.push_back(record);
    }
    return message;
}

void stream_relay::on_request(const vm_id& from, const records_request& request, time_point now,
                              std::vector<relay_output>& out) const
{
    // A reader whose cache starts later cannot answer; the requester tries the next reader and
    // finally the log.
    const bool cached =
        request.from >= next_ || (!cache_.empty() && cache_.front().offset <= request.from);
    if (!cached) {
        return;
    }
    auto message = make_answer(request.from);
    message.oldest = std::min(oldest_, request.from);
    message.correlation_id = request.correlation_id;
    if (confirmed_at_ != time_point{}) {
        message.confirmed_age = now - confirmed_at_;
    }
    out.emplace_back(relay_records{from, std::move(message)});
}

void stream_relay::tick(time_point now, std::vector<relay_output>& out)
{
    if (reads_log_ || sources_.empty() || now - asked_at_ < settings_.poll_interval) {
        return;
    }
    if (pending_correlation_id_ != 0) {
        ++next_source_; // the last request was not answered
    }
    pending_correlation_id_ = next_correlation_id_++;
    asked_at_ = now;
    out.emplace_back(relay_request{sources_[next_source_ % sources_.size()],
                                   {next_, false, pending_correlation_id_}});
}

} // namespace wagtailhitch
