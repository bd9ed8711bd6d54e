#include "claim/claim_batcher.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

bool is_claim(const claim_item& item)
{
    return std::holds_alternative<claim_record>(item);
}

std::pair<request_id, std::size_t> id_of(const claim_item& item)
{
    return {request_of(item), item.index()};
}

} // namespace

claim_outbox::claim_outbox(claim_outbox_settings settings) : settings_{settings} {}

bool claim_outbox::add(claim_item item, time_point now)
{
    const auto id = id_of(item);
    const bool is_new = pending_.find(id) == pending_.end();
    if (is_claim(item) && is_new) {
        if (claims_ >= settings_.maximum_items) {
            return false;
        }
        ++claims_;
    }
    pending_[id] = {std::move(item), now};
    next_due_ = std::min(next_due_, now);
    return true;
}

void claim_outbox::withdraw(const request_id& request)
{
    constexpr std::size_t claim_alternative = 0;
    claims_ -= pending_.erase({request, claim_alternative});
}

void claim_outbox::release(const claim_key& key, const request_id& request, time_point now)
{
    withdraw(request);
    add(outcome_record{key, request, run_state::not_run, 0, {}, {}, false}, now);
}

std::vector<std::vector<claim_item>> claim_outbox::due(time_point now)
{
    std::vector<std::vector<claim_item>> out;
    if (now < next_due_ || pending_.empty()) {
        return out;
    }
    next_due_ = now + settings_.resend_after;
    std::size_t bytes = 0;
    for (auto& [id, pending] : pending_) {
        if (pending.submit_at > now) {
            next_due_ = std::min(next_due_, pending.submit_at);
            continue;
        }
        const auto size = encoded_size_bound(pending.item);
        if (out.empty() || bytes + size > settings_.maximum_submit_bytes) {
            out.emplace_back();
            bytes = 0;
        }
        out.back().push_back(pending.item);
        bytes += size;
        pending.submit_at = now + settings_.resend_after;
    }
    return out;
}

void claim_outbox::writer_changed()
{
    next_due_ = {};
    for (auto& [id, pending] : pending_) {
        pending.submit_at = {};
    }
}

void claim_outbox::acknowledge(const claim_batch& batch)
{
    for (const auto& item : batch.items) {
        const auto erased = pending_.erase(id_of(item));
        claims_ -= is_claim(item) ? erased : 0;
    }
}

claim_writer::claim_writer(claim_writer_settings settings, std::uint64_t first_batch)
    : settings_{settings}, next_batch_{first_batch}
{
}

std::size_t claim_writer::accept(std::vector<claim_item> items)
{
    std::size_t refused = 0;
    for (auto& item : items) {
        const auto id = id_of(item);
        if (pending_ids_.find(id) != pending_ids_.end()) {
            continue;
        }
        if (queue_.size() >= settings_.maximum_queue) {
            ++refused;
            continue;
        }
        pending_ids_.insert(id);
        queue_.push_back(std::move(item));
    }
    return refused;
}

std::optional<claim_append> claim_writer::due(time_point now, bool authority)
{
    if (!authority) {
        drop_all();
        return std::nullopt;
    }
    if (now < next_send_) {
        return std::nullopt;
    }
    auto append = repeat(now);
    if (!append && !queue_.empty() && in_flight_.size() < settings_.maximum_in_flight) {
        append = next_batch(now);
    }
    if (append) {
        next_send_ = now + settings_.minimum_interval;
    }
    return append;
}

void claim_writer::on_result(std::uint64_t batch, bool stored, time_point now)
{
    const auto it = in_flight_.find(batch);
    if (it == in_flight_.end()) {
        return;
    }
    if (!stored) {
        it->second.send_again_at = now + settings_.retry_after;
        return;
    }
    for (const auto& id : it->second.ids) {
        pending_ids_.erase(id);
    }
    in_flight_.erase(it);
}

std::optional<claim_append> claim_writer::repeat(time_point now)
{
    for (auto& [batch, sent] : in_flight_) {
        if (now >= sent.send_again_at) {
            sent.send_again_at = now + settings_.reply_timeout;
            return claim_append{batch, sent.data};
        }
    }
    return std::nullopt;
}

claim_append claim_writer::next_batch(time_point now)
{
    claim_batch batch{next_batch_, {}};
    sent_batch sent;
    std::size_t bytes = 0;
    while (!queue_.empty()) {
        bytes += encoded_size_bound(queue_.front());
        if (!batch.items.empty() && bytes > settings_.maximum_batch_bytes) {
            break;
        }
        sent.ids.push_back(id_of(queue_.front()));
        batch.items.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    ++next_batch_;
    sent.data = encode_claim_batch(batch);
    sent.send_again_at = now + settings_.reply_timeout;
    const auto& kept = in_flight_.emplace(batch.id, std::move(sent)).first->second;
    return {batch.id, kept.data};
}

void claim_writer::drop_all()
{
    queue_.clear();
    pending_ids_.clear();
    in_flight_.clear();
}

} // namespace wagtailhitch
