#pragma once

#include "base/clock.hpp"

#include <cstddef>

// Average interval between the events of a service's streams, as a baseline for the streams of a
// version that is rolling out. The interval depends on the load of the replica far more than on the
// model or the length of the stream. A version that is rolling out has little load, so if its
// streams are slower than the baseline, the version itself is the cause.
//
//   event_interval_baseline baseline{settings};
//   baseline.note(pause);              // of a stream of an established version
//   if (baseline.is_slow_interval(pause)) { count the stream as dragged }

namespace wagtailhitch {

struct event_interval_settings {
    /// A stream whose interval exceeds the baseline by this factor counts as slow ("dragged").
    /// Loaded replicas of a healthy version stay below it in four streams of five.
    double dragged_factor{1.4};
    double smoothing{0.05};     ///< weight of one stream in the moving average
    std::size_t min_streams{8}; ///< with fewer streams, no stream counts as slow
};

class event_interval_baseline {
public:
    explicit event_interval_baseline(event_interval_settings settings = {}) : settings_{settings} {}

    void note(duration pause);
    [[nodiscard]] bool is_slow_interval(duration pause) const;

private:
    event_interval_settings settings_;
    duration average_interval_{0};
    std::size_t stream_count_{0};
};

} // namespace wagtailhitch
