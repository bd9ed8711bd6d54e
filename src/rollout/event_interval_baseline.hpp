#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstddef>
#include <optional>

// Average interval between the events of a service's streams, as a baseline for the streams of a
// version that is rolling out. The interval depends on the load of the replica far more than on the
// model or the length of the stream. A version that is rolling out has little load, so if its
// streams are slower than the baseline, the version itself is the cause.
//
//   event_interval_baseline baseline{settings};
//   baseline.note(pause, load);        // of a stream of an established version
//   if (baseline.is_slow_interval(pause)) { count the stream as dragged }
//   if (baseline.is_lightly_loaded(load) && baseline.is_sluggish(pause, fastest)) { ... }
//
// The average also grows with slow replicas of the established version. The fastest streams do not:
// they show how fast the software itself is. A version whose streams do not come close to them,
// though its replicas have little load, is slower.

namespace wagtailhitch {

struct event_interval_settings {
    /// A stream whose interval exceeds the baseline by this factor counts as slow ("dragged").
    /// Loaded replicas of a healthy version stay below it in four streams of five.
    double dragged_factor{1.4};
    double smoothing{0.05};     ///< weight of one stream in the moving average
    std::size_t min_streams{8}; ///< with fewer streams, no stream counts as slow
    /// Quantile of the recent streams that counts as the fastest interval.
    double fast_quantile{0.02};
    std::size_t min_recent_streams{20}; ///< with fewer streams, no fastest interval is known
    /// Share of the mean load below which a replica counts as lightly loaded.
    double light_load_share{0.6};
    /// A stream at a lightly loaded replica that exceeds the fastest interval by this factor is
    /// sluggish.
    double sluggish_factor{1.2};
};

class event_interval_baseline {
public:
    explicit event_interval_baseline(event_interval_settings settings = {}) : settings_{settings} {}

    /// `load`: share of the replica's slots in use, 0 to 1.
    void note(duration pause, double load = 0);
    [[nodiscard]] bool is_slow_interval(duration pause) const;
    /// Interval of the fastest recent streams; nothing if too few are known.
    [[nodiscard]] std::optional<duration> fastest_interval() const;
    [[nodiscard]] bool is_lightly_loaded(double load) const;
    [[nodiscard]] bool is_sluggish(duration pause, duration fastest) const
    {
        return pause > fastest * settings_.sluggish_factor;
    }

private:
    event_interval_settings settings_;
    duration average_interval_{0};
    std::size_t stream_count_{0};
    double mean_load_{0};
    std::array<duration, 256> recent_{}; ///< intervals of the last streams
    duration fastest_interval_{0};
};

} // namespace wagtailhitch
