#include "net/proxy/deadline_queue.hpp"

namespace wagtailhitch {

namespace {

constexpr duration granularity = 10ms;

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

} // namespace

deadline_queue::handle deadline_queue::after(duration wait, std::function<void()> action)
{
    const auto exact = (clock_now() + std::max(wait, duration{0})).time_since_epoch();
    const time_point due{(exact + granularity - duration{1}) / granularity * granularity};
    const handle out{due, next_++};
    actions_.emplace(out, std::move(action));
    arm();
    return out;
}

void deadline_queue::cancel(handle& which)
{
    actions_.erase(which);
    which = {};
}

void deadline_queue::arm()
{
    if (actions_.empty() || actions_.begin()->first.first >= armed_for_) {
        return;
    }
    armed_for_ = actions_.begin()->first.first;
    timer_.expires_at(armed_for_);
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            run();
        }
    });
}

void deadline_queue::run()
{
    armed_for_ = time_point::max();
    const time_point now = clock_now();
    while (!actions_.empty() && actions_.begin()->first.first <= now) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    arm();
}

} // namespace wagtailhitch
