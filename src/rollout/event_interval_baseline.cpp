#include "rollout/event_interval_baseline.hpp"

namespace wagtailhitch {

void event_interval_baseline::note(duration pause)
{
    average_interval_ =
        stream_count_ == 0
            ? pause
            : average_interval_ + std::chrono::duration_cast<duration>((pause - average_interval_) *
                                                                       settings_.smoothing);
    ++stream_count_;
}

bool event_interval_baseline::is_slow_interval(duration pause) const
{
    return stream_count_ >= settings_.min_streams &&
           pause > average_interval_ * settings_.dragged_factor;
}

} // namespace wagtailhitch
