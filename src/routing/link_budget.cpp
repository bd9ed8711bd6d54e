#include "routing/link_budget.hpp"

#include <algorithm>

namespace wagtailhitch {

link_budget::link_budget(link_settings settings, time_point now)
    : settings_{settings}, level_{settings.bytes_per_second * settings.burst_seconds}, updated_{now}
{
}

bool link_budget::fits(double bytes, time_point now) const
{
    return settings_.bytes_per_second > 0 && bytes <= available(now);
}

double link_budget::available(time_point now) const
{
    const double capacity = settings_.bytes_per_second * settings_.burst_seconds;
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - updated_).count());
    return std::min(capacity, level_ + settings_.bytes_per_second * elapsed);
}

void link_budget::set_rate(double bytes_per_second, time_point now)
{
    level_ = available(now);
    updated_ = std::max(updated_, now);
    settings_.bytes_per_second = bytes_per_second;
}

void link_budget::spend(double bytes, time_point now)
{
    level_ = available(now) - bytes;
    updated_ = std::max(updated_, now);
    spent_ += bytes;
}

} // namespace wagtailhitch
