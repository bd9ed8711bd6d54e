#include "lease/lease_table.hpp"

namespace wagtailhitch {

namespace {

lease_state state_after(log_offset offset, const lease_record& record)
{
    const bool acquired = record.operation == lease_operation::acquire;
    return lease_state{record.holder, acquired ? offset + 1 : record.fencing, offset,
                       record.operation == lease_operation::release};
}

} // namespace

void lease_table::start(log_offset oldest)
{
    start_ = oldest;
    next_ = oldest;
    duties_.clear();
}

lease_verdict lease_table::apply(log_offset offset, const lease_record& record)
{
    if (offset < next_ || record.applied_up_to > offset) {
        return lease_verdict::rejected;
    }
    next_ = offset + 1;
    auto& duty = duties_.try_emplace(record.duty, duty_state{std::nullopt, start_}).first->second;
    const auto verdict = decide(duty, record);
    if (verdict == lease_verdict::accepted) {
        duty.lease = state_after(offset, record);
    }
    if (verdict == lease_verdict::undetermined) {
        duty.lease.reset();
        duty.undetermined_below = offset + 1;
    }
    return verdict;
}

lease_verdict lease_table::decide(const duty_state& duty, const lease_record& record)
{
    if (duty.lease && duty.lease->latest >= record.applied_up_to) {
        return lease_verdict::rejected;
    }
    if (record.applied_up_to < duty.undetermined_below) {
        return lease_verdict::undetermined;
    }
    if (record.operation == lease_operation::acquire) {
        return lease_verdict::accepted;
    }
    if (duty.lease) {
        const bool by_holder = !duty.lease->released && record.holder == duty.lease->holder &&
                               record.fencing == duty.lease->fencing;
        return by_holder ? lease_verdict::accepted : lease_verdict::rejected;
    }
    // This table has not read the acquire, but the writer had applied all records that this table
    // has not read. A table that started at 0 knows that no process holds the duty.
    return duty.undetermined_below > 0 ? lease_verdict::accepted : lease_verdict::rejected;
}

const lease_state* lease_table::find(const std::string& duty) const
{
    const auto it = duties_.find(duty);
    return it == duties_.end() || !it->second.lease ? nullptr : &*it->second.lease;
}

bool lease_table::vacant(const std::string& duty) const
{
    const auto it = duties_.find(duty);
    if (it == duties_.end()) {
        return start_ == 0;
    }
    return it->second.lease ? it->second.lease->released : it->second.undetermined_below == 0;
}

} // namespace wagtailhitch
