#include "admission/return_schedule.hpp"

#include <algorithm>

namespace wagtailhitch {

void return_schedule::ask(std::uint64_t caller, time_point now, time_point due)
{
    if (caller == 0 || state(caller, now) == return_state::early) {
        return;
    }
    drop_expired(now);
    due_[caller] = due;
    asked_.emplace_back(due, caller);
}

return_state return_schedule::state(std::uint64_t caller, time_point now) const
{
    const auto it = due_.find(caller);
    if (caller == 0 || it == due_.end() || now > it->second + settings_.window) {
        return return_state::none;
    }
    return now + settings_.tolerance < it->second ? return_state::early : return_state::on_time;
}

duration return_schedule::until_due(std::uint64_t caller, time_point now) const
{
    const auto it = due_.find(caller);
    return it == due_.end() ? duration{0} : std::max(duration{0}, it->second - now);
}

void return_schedule::forget(std::uint64_t caller)
{
    due_.erase(caller);
}

void return_schedule::drop_expired(time_point now)
{
    while (!asked_.empty() &&
           (asked_.size() >= settings_.entries || now > asked_.front().first + settings_.window)) {
        const auto [due, caller] = asked_.front();
        asked_.pop_front();
        const auto it = due_.find(caller);
        if (it != due_.end() && it->second == due) {
            due_.erase(it);
        }
    }
}

} // namespace wagtailhitch
