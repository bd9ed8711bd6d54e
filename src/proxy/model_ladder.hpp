#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

// Which model of a route's ladder answers a request: a small one first, a larger one when the small
// one doubts its own answer and the larger one can still answer in time.
//
//   model_ladder ladder{settings};
//   std::size_t first = ladder.first(models, expected, target);
//   auto next = ladder.next(models, first, confidence, expected, time_left, target);

namespace wagtailhitch {

struct model_ladder_settings {
    bool start_small{true};
    /// An answer is accepted from this confidence on, 0 to 1. Below it, the largest model that can
    /// answer in time is asked.
    double accept{0.6};
    /// Part of the latency target that the first token of a model may be expected to take.
    double time_share{0.6};
    /// Time for a prompt token relative to a standard model, smallest model first; ladders of other
    /// lengths are spread over the same range.
    std::vector<double> paces{0.3, 0.8, 3.0};
};

class model_ladder {
public:
    /// Expected time to the first token at a model of the ladder.
    using estimate = std::function<duration(std::size_t model)>;

    explicit model_ladder(model_ladder_settings settings);

    /// `count`: models of the ladder, at least 1.
    [[nodiscard]] std::size_t first(std::size_t count, const estimate& expected,
                                    duration target) const;
    /// The model to ask instead, or nothing to accept the answer.
    [[nodiscard]] std::optional<std::size_t> next(std::size_t count, std::size_t current,
                                                  double confidence, const estimate& expected,
                                                  duration time_left) const;
    [[nodiscard]] double pace(std::size_t count, std::size_t model) const;

private:
    model_ladder_settings settings_;
};

} // namespace wagtailhitch
