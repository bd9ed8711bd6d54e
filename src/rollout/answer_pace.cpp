#include "rollout/answer_pace.hpp"

namespace wagtailhitch {

void answer_pace::note(duration pause)
{
    usual_ =
        streams_ == 0
            ? pause
            : usual_ + std::chrono::duration_cast<duration>((pause - usual_) * settings_.smoothing);
    ++streams_;
}

bool answer_pace::exceeded_by(duration pause) const
{
    return streams_ >= settings_.least_streams && pause > usual_ * settings_.dragged_factor;
}

} // namespace wagtailhitch
