#include "proxy/model_cascade.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

duration scale(duration value, double by)
{
    return std::chrono::duration_cast<duration>(value * by);
}

} // namespace

model_cascade::model_cascade(model_cascade_settings settings) : settings_{settings} {}

std::size_t model_cascade::first(std::size_t count, const estimate& expected, duration target,
                                 bool may_escalate) const
{
    if (settings_.start_small && may_escalate) {
        return 0;
    }
    const duration limit = scale(target, settings_.first_token_share);
    std::size_t model = count - 1;
    while (model > 0 && expected(model) > limit) {
        --model;
    }
    return model;
}

std::optional<std::size_t> model_cascade::next(std::size_t count, std::size_t current,
                                               double confidence, const estimate& expected,
                                               duration time_left) const
{
    if (confidence >= settings_.minimum_confidence) {
        return std::nullopt;
    }
    const duration limit = scale(time_left, settings_.first_token_share);
    for (std::size_t model = count - 1; model > current; --model) {
        if (expected(model) <= limit) {
            return model;
        }
    }
    return std::nullopt;
}

} // namespace wagtailhitch
