#include "lease/lease_elector.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

duration scale(duration value, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

} // namespace

lease_elector::lease_elector(std::string duty, process_id self, lease_settings settings)
    : duty_{std::move(duty)}, self_{std::move(self)}, settings_{settings}
{
}

std::optional<lease_record>
lease_elector::tick(const lease_table& table, const std::vector<vm_id>& candidates, time_point now)
{
    // Restarts the wait after a gap: the unread records may contain a renewal that was sent just
    // now.
    if (!latest_read_ || table.started_at() != table_start_) {
        latest_read_ = now;
        table_start_ = table.started_at();
    }
    if (now < next_append_) {
        return std::nullopt;
    }
    const auto* lease = table.find(duty_);
    if (lease != nullptr && lease->holder == self_ && !lease->released) {
        return holder_step(*lease, table.next_offset(), now);
    }
    return contender_step(table, candidates, now);
}

void lease_elector::on_record(log_offset offset, const lease_record& record, lease_verdict verdict,
                              time_point now)
{
    if (verdict == lease_verdict::rejected || record.duty != duty_) {
        return;
    }
    latest_read_ = now;
    next_append_ = {};
    const auto sent = sent_.find(record.nonce);
    if (record.holder != self_ || record.operation == lease_operation::release ||
        verdict == lease_verdict::undetermined) {
        authority_until_ = {};
        sent_.clear();
        return;
    }
    fencing_ = record.operation == lease_operation::acquire ? offset + 1 : record.fencing;
    if (sent == sent_.end() || resigning_) {
        return;
    }
    held_ = true;
    const auto window = scale(settings_.term - settings_.margin, 1.0 - settings_.drift);
    authority_until_ = std::max(authority_until_, sent->second + window);
    next_append_ = sent->second + settings_.renew_interval;
    sent_.erase(sent_.begin(), std::next(sent));
}

void lease_elector::resign()
{
    resigning_ = true;
    held_ = false;
    authority_until_ = {};
    next_append_ = {};
}

void lease_elector::resume()
{
    resigning_ = false;
}

std::optional<fencing_number> lease_elector::authority(time_point now) const
{
    if (resigning_ || now >= authority_until_) {
        return std::nullopt;
    }
    return fencing_;
}

bool lease_elector::lost(time_point now) const
{
    return held_ && !authority(now);
}

// Renews after authority has expired as well: the renewal is accepted only if no other process has
// acquired the lease since.
std::optional<lease_record> lease_elector::holder_step(const lease_state& lease,
                                                       log_offset applied_up_to, time_point now)
{
    if (resigning_) {
        next_append_ = now + settings_.append_retry_interval;
        return make_record(lease_operation::release, applied_up_to, lease.fencing, now);
    }
    next_append_ = now + settings_.renew_interval;
    return make_record(lease_operation::renew, applied_up_to, lease.fencing, now);
}

std::optional<lease_record> lease_elector::contender_step(const lease_table& table,
                                                          const std::vector<vm_id>& candidates,
                                                          time_point now)
{
    const auto order = rank(candidates);
    if (resigning_ || !order) {
        return std::nullopt;
    }
    // A vacant duty needs no wait for authority to expire: a holder stops acting before it
    // releases.
    const bool is_vacant = table.vacant(duty_);
    const auto expiry_wait = scale(settings_.term + settings_.margin, 1.0 + settings_.drift);
    const auto rank_delay =
        settings_.contender_delay_step * std::min(*order, settings_.maximum_rank);
    if (now < *latest_read_ + (is_vacant ? duration{0} : expiry_wait) + rank_delay) {
        return std::nullopt;
    }
    next_append_ = now + settings_.append_retry_interval + rank_delay;
    return make_record(lease_operation::acquire, table.next_offset(), 0, now);
}

lease_record lease_elector::make_record(lease_operation operation, log_offset applied_up_to,
                                        fencing_number fencing, time_point now)
{
    // A record sent more than one term ago gives no authority when it is read back.
    while (!sent_.empty() && sent_.begin()->second + settings_.term < now) {
        sent_.erase(sent_.begin());
    }
    const auto nonce = next_nonce_++;
    sent_.emplace(nonce, now);
    return {operation, duty_, self_, applied_up_to, fencing, nonce};
}

std::optional<std::size_t> lease_elector::rank(const std::vector<vm_id>& candidates) const
{
    if (std::find(candidates.begin(), candidates.end(), self_.vm) == candidates.end()) {
        return std::nullopt;
    }
    const auto own = rendezvous_weight(duty_, self_.vm.value);
    const auto higher_ranked =
        std::count_if(candidates.begin(), candidates.end(),
                      [&](const vm_id& vm) { return rendezvous_weight(duty_, vm.value) > own; });
    return static_cast<std::size_t>(higher_ranked);
}

} // namespace wagtailhitch
