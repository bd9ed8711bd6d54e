#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <optional>

// Chooses the model of a route's cascade that answers a request: a small one first, and a larger
// one if the small one's confidence in its answer is low and the larger one can still answer in
// time.
//
//   model_cascade cascade{settings};
//   std::size_t first = cascade.first(count, expected, target, may_escalate);
//   auto next = cascade.next(count, first, confidence, expected, time_left);

namespace wagtailhitch {

struct model_cascade_settings {
    bool start_small{true};
    /// Answers with at least this confidence, 0 to 1, are accepted. Below it, the largest model
    /// that can answer in time is asked.
    double minimum_confidence{0.6};
    /// Largest share of the latency target, or of the time left, for a model's expected time to the
    /// first token.
    double first_token_share{0.6};
};

class model_cascade {
public:
    /// Expected time to the first token at a model of the cascade.
    using estimate = std::function<duration(std::size_t model)>;

    explicit model_cascade(model_cascade_settings settings);

    /// Returns the model to ask first. `count`: models of the cascade, at least 1. A request that
    /// may not run again cannot escalate, so it goes to the largest model that can answer in time.
    [[nodiscard]] std::size_t first(std::size_t count, const estimate& expected, duration target,
                                    bool may_escalate) const;
    /// Returns the larger model to ask instead, or nothing if the answer is accepted.
    [[nodiscard]] std::optional<std::size_t> next(std::size_t count, std::size_t current,
                                                  double confidence, const estimate& expected,
                                                  duration time_left) const;

private:
    model_cascade_settings settings_;
};

} // namespace wagtailhitch
