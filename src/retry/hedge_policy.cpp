#include "retry/hedge_policy.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailhitch {

namespace {

constexpr double first_bin_seconds = 1e-3;
constexpr double bins_per_doubling = 8;

// All bins are halved when their sum reaches this value, so that the quantile adapts to changes
// within about 1000 requests.
constexpr double max_total_weight = 1000;

// Attempts that must have taken longer for the mean of what they took to be used.
constexpr double min_weight_beyond = 1;

/// Time at a position between the bins' edges; bin i reaches from i to i + 1.
duration time_at(double position)
{
    const double seconds = first_bin_seconds * std::exp2(position / bins_per_doubling);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

hedge_policy::hedge_policy(hedge_settings settings) : settings_{settings} {}

void hedge_policy::count_request()
{
    credit_ = std::min(settings_.budget_capacity, credit_ + settings_.budget_share);
}

void hedge_policy::record_first_token(duration elapsed)
{
    bins_[bin_index(elapsed)] += 1;
    count_sample();
}

// Counting the attempt at `elapsed` would make slow attempts look shorter the more of them are
// ended early, so that their successors would no longer be hedged.
void hedge_policy::record_unanswered(duration elapsed)
{
    const double weight = weight_beyond(elapsed);
    if (weight < min_weight_beyond) {
        bins_[bin_index(2 * elapsed)] += 1;
        count_sample();
        return;
    }
    for (std::size_t i = 0; i < bin_count; ++i) {
        if (middle(i) > elapsed) {
            bins_[i] += bins_[i] / weight;
        }
    }
    count_sample();
}

void hedge_policy::count_sample()
{
    total_ += 1;
    if (total_ < max_total_weight) {
        return;
    }
    total_ = 0;
    for (double& bin : bins_) {
        bin /= 2;
        total_ += bin;
    }
}

std::optional<time_point> hedge_policy::hedge_time(const hedge_context& context,
                                                   time_point sent_at) const
{
    const auto threshold = latency_quantile();
    if (!threshold || !context.idempotent || context.stream_started || context.already_hedged) {
        return std::nullopt;
    }
    const time_point due = sent_at + std::max(*threshold, settings_.min_delay);
    return due < context.deadline ? std::optional{due} : std::nullopt;
}

bool hedge_policy::try_consume()
{
    if (!budget_left()) {
        return false;
    }
    credit_ -= 1;
    return true;
}

std::optional<duration> hedge_policy::latency_quantile() const
{
    if (total_ < settings_.min_samples) {
        return std::nullopt;
    }
    double below = 0;
    for (std::size_t i = 0; i < bin_count; ++i) {
        below += bins_[i];
        if (below >= settings_.quantile * total_) {
            return upper_edge(i);
        }
    }
    return upper_edge(bin_count - 1);
}

double hedge_policy::weight_beyond(duration elapsed) const
{
    double weight = 0;
    for (std::size_t i = 0; i < bin_count; ++i) {
        weight += middle(i) > elapsed ? bins_[i] : 0;
    }
    return weight;
}

duration hedge_policy::expected_remaining(duration elapsed) const
{
    const double weight = weight_beyond(elapsed);
    if (weight < min_weight_beyond) {
        return elapsed;
    }
    double sum = 0;
    for (std::size_t i = 0; i < bin_count; ++i) {
        const duration later = middle(i) - elapsed;
        sum += later > duration{0} ? bins_[i] * static_cast<double>(later.count()) : 0;
    }
    return duration{static_cast<duration::rep>(sum / weight)};
}

std::size_t hedge_policy::bin_index(duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double position =
        std::log2(std::max(seconds, first_bin_seconds) / first_bin_seconds) * bins_per_doubling;
    return std::min(static_cast<std::size_t>(position), bin_count - 1);
}

duration hedge_policy::upper_edge(std::size_t bin)
{
    return time_at(static_cast<double>(bin) + 1);
}

duration hedge_policy::middle(std::size_t bin)
{
    return time_at(static_cast<double>(bin) + 0.5);
}

} // namespace wagtailhitch
