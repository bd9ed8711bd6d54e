#include "rollout/event_interval_baseline.hpp"

#include <algorithm>

namespace wagtailhitch {

void event_interval_baseline::note(duration pause, double load)
{
    average_interval_ =
        stream_count_ == 0
            ? pause
            : average_interval_ + std::chrono::duration_cast<duration>((pause - average_interval_) *
                                                                       settings_.smoothing);
    mean_load_ += (load - mean_load_) * (stream_count_ == 0 ? 1 : settings_.smoothing);
    recent_[stream_count_ % recent_.size()] = pause;
    ++stream_count_;
    const std::size_t n = std::min(stream_count_, recent_.size());
    auto sorted = recent_;
    const auto fast = static_cast<std::size_t>(settings_.fast_quantile * static_cast<double>(n));
    const auto begin = sorted.begin();
    std::nth_element(begin, begin + static_cast<std::ptrdiff_t>(fast),
                     begin + static_cast<std::ptrdiff_t>(n));
    fastest_interval_ = sorted[fast];
}

std::optional<duration> event_interval_baseline::fastest_interval() const
{
    if (stream_count_ < settings_.min_recent_streams) {
        return std::nullopt;
    }
    return fastest_interval_;
}

bool event_interval_baseline::is_lightly_loaded(double load) const
{
    return stream_count_ >= settings_.min_streams && load < settings_.light_load_share * mean_load_;
}

bool event_interval_baseline::is_slow_interval(duration pause) const
{
    return stream_count_ >= settings_.min_streams &&
           pause > average_interval_ * settings_.dragged_factor;
}

} // namespace wagtailhitch
