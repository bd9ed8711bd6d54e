#include "lease/lease_table.hpp"

namespace wagtailhitch {

namespace {

lease_state state_after(log_offset offset, const lease_record& record)
{
    const bool acquired = record.operation == lease_operation::acquire;
    return lease_state{record.holder, acquired ? offset + 1 : record.fencing, offset,
                       record.operation == lease_operation::release, record.nonce};
}

} // namespace

void lease_table::start(log_offset oldest)
{
    start_ = oldest;
    next_ = oldest;
}

bool lease_table::apply(log_offset offset, const lease_record& record)
{
    if (offset < next_) {
        return false;
    }
    next_ = offset + 1;
    const auto it = duties_.find(record.duty);
    if (it == duties_.end()) {
        return begin_chain(offset, record);
    }
    return extend_chain(it->second, offset, record);
}

const lease_state* lease_table::find(const std::string& duty) const
{
    const auto it = duties_.find(duty);
    return it == duties_.end() ? nullptr : &it->second.lease;
}

std::optional<log_offset> lease_table::predecessor(const std::string& duty) const
{
    const auto it = duties_.find(duty);
    if (it != duties_.end()) {
        return it->second.lease.latest;
    }
    return start_ == 0 ? std::nullopt : std::optional{start_ - 1};
}

bool lease_table::begin_chain(log_offset offset, const lease_record& record)
{
    // A fold that began at 0 knows that nothing can be renewed yet.
    if (start_ == 0 && record.operation != lease_operation::acquire) {
        return false;
    }
    if (record.predecessor && *record.predecessor >= offset) {
        return false;
    }
    // A predecessor just before the start, or later, leaves no room for an unknown record.
    const bool provisional =
        start_ > 0 && (!record.predecessor || *record.predecessor + 1 < start_);
    duties_[record.duty] = {state_after(offset, record), record.predecessor, provisional};
    return true;
}

bool lease_table::extend_chain(duty_state& duty, log_offset offset, const lease_record& record)
{
    if (record.predecessor && *record.predecessor >= offset) {
        return false;
    }
    const bool names_latest = record.predecessor && *record.predecessor >= duty.lease.latest;
    const bool better_start = duty.provisional && !names_latest && record.predecessor > duty.base &&
                              *record.predecessor < start_;
    if (better_start) {
        // The chain so far followed a record that lost a race before this fold began.
        return begin_chain(offset, record);
    }
    const bool by_holder = record.holder == duty.lease.holder &&
                           record.fencing == duty.lease.fencing && !duty.lease.released;
    if (!names_latest || (record.operation != lease_operation::acquire && !by_holder)) {
        return false;
    }
    duty.lease = state_after(offset, record);
    return true;
}

} // namespace wagtailhitch
