#pragma once

#include "base/clock.hpp"

#include <cstddef>

// The usual pause between the events of a service's streams, against which streams of a version on
// trial are compared. The pause of one stream depends on its replica's load far more than on its
// model or length, and a version on trial has little load: one whose streams are slower than usual
// is at fault.
//
//   answer_pace usual{settings};
//   usual.note(pause);                 // of a stream of an established version
//   if (usual.exceeded_by(pause)) { count the stream as dragged }

namespace wagtailhitch {

struct answer_pace_settings {
    /// A stream is dragged from this multiple of the usual pause on. Loaded replicas of sound
    /// software stay below it in four streams of five.
    double dragged_factor{1.4};
    double smoothing{0.05};       ///< weight of one stream in the usual pause
    std::size_t least_streams{8}; ///< fewer say nothing about what is usual
};

class answer_pace {
public:
    explicit answer_pace(answer_pace_settings settings = {}) : settings_{settings} {}

    void note(duration pause);
    [[nodiscard]] bool exceeded_by(duration pause) const;

private:
    answer_pace_settings settings_;
    duration usual_{0};
    std::size_t streams_{0};
};

} // namespace wagtailhitch
