#include "proxy/model_ladder.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

duration scale(duration value, double by)
{
    return std::chrono::duration_cast<duration>(value * by);
}

} // namespace

model_ladder::model_ladder(model_ladder_settings settings) : settings_{std::move(settings)} {}

std::size_t model_ladder::first(std::size_t count, const estimate& expected, duration target) const
{
    if (settings_.start_small) {
        return 0;
    }
    const duration most = scale(target, settings_.time_share);
    std::size_t model = count - 1;
    while (model > 0 && expected(model) > most) {
        --model;
    }
    return model;
}

std::optional<std::size_t> model_ladder::next(std::size_t count, std::size_t current,
                                              double confidence, const estimate& expected,
                                              duration time_left) const
{
    if (confidence >= settings_.accept) {
        return std::nullopt;
    }
    const duration most = scale(time_left, settings_.time_share);
    for (std::size_t model = count - 1; model > current; --model) {
        if (expected(model) <= most) {
            return model;
        }
    }
    return std::nullopt;
}

double model_ladder::pace(std::size_t count, std::size_t model) const
{
    const auto& paces = settings_.paces;
    if (paces.empty() || count <= 1) {
        return 1;
    }
    const std::size_t at = model * (paces.size() - 1) / (count - 1);
    return paces[std::min(at, paces.size() - 1)];
}

} // namespace wagtailhitch
