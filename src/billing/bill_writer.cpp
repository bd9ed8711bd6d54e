#include "billing/bill_writer.hpp"

#include <iterator>
#include <utility>

namespace wagtailhitch {

bill_writer::bill_writer(bill_writer_settings settings) : settings_{settings} {}

bool bill_writer::accept(const process_id& from, std::uint64_t id, std::string_view data)
{
    const bill_submission name{from, id};
    if (pending_submissions_.find(name) != pending_submissions_.end()) {
        return true;
    }
    if (queued_bytes_ + data.size() > settings_.maximum_queue_bytes) {
        return false;
    }
    auto bills = split_bill_batch(data);
    if (!bills) {
        return false;
    }
    pending_submissions_.insert(name);
    queued_bytes_ += data.size();
    queue_.push_back({name, std::move(*bills), data.size()});
    return true;
}

std::optional<bill_append> bill_writer::due(time_point now, bool authority)
{
    if (!authority) {
        queue_.clear();
        pending_submissions_.clear();
        sent_.reset();
        queued_bytes_ = 0;
        return std::nullopt;
    }
    if (sent_) {
        if (now < sent_->retry_at) {
            return std::nullopt;
        }
        sent_->retry_at = now + settings_.reply_timeout;
        return bill_append{sent_->id, sent_->data};
    }
    if (queue_.empty() || (now < next_append_ && !stopping_)) {
        return std::nullopt;
    }
    return next_record(now);
}

std::vector<bill_submission> bill_writer::on_result(std::uint64_t id, bool stored, time_point now)
{
    if (!sent_ || sent_->id != id) {
        return {};
    }
    if (!stored) {
        sent_->retry_at = now + settings_.retry_after;
        return {};
    }
    auto done = std::move(sent_->submissions);
    for (const auto& name : done) {
        pending_submissions_.erase(name);
    }
    sent_.reset();
    return done;
}

bill_append bill_writer::next_record(time_point now)
{
    sent_record record{next_id_++, {}, {}, now + settings_.reply_timeout};
    std::vector<std::string> bills;
    std::size_t bytes = 0;
    while (!queue_.empty()) {
        auto& next = queue_.front();
        if (!bills.empty() && bytes + next.bytes > settings_.maximum_record_bytes) {
            break;
        }
        bytes += next.bytes;
        queued_bytes_ -= next.bytes;
        std::move(next.bills.begin(), next.bills.end(), std::back_inserter(bills));
        record.submissions.push_back(std::move(next.name));
        queue_.pop_front();
    }
    record.data = encode_bill_batch(bills);
    // A backlog is appended without waiting for the interval.
    next_append_ = queue_.empty() ? now + settings_.append_interval : now;
    sent_ = std::move(record);
    return {sent_->id, sent_->data};
}

} // namespace wagtailhitch
