#include "rollout/answer_pace.hpp"

namespace wagtailhitch {

void answer_pace::note(duration pause)
{
    average_interval_ =
        stream_count_ == 0
            ? pause
            : average_interval_ + std::chrono::duration_cast<duration>((pause - average_interval_) * settings_.smoothing);
    ++stream_count_;
}

bool answer_pace::exceeded_by(duration pause) const
{
    return stream_count_ >= settings_.least_streams && pause > average_interval_ * settings_.dragged_factor;
}

} // namespace wagtailhitch
