#include "calibration/first_token_fit.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wagtailhitch {

namespace {

/// Prompt tokens are counted in thousands inside the sums, which keeps the equations well
/// conditioned.
constexpr double tokens_per_unit = 1000;

/// Products of the features 1, x, l and x*l (x: thousands of tokens, l: load share) with each
/// other, then with the time, then the squared time, then the weight.
constexpr std::size_t feature_count = 4;
constexpr std::size_t time_products_at = 10;
constexpr std::size_t squared_time_at = 14;
constexpr std::size_t weight_at = 15;

/// Position of the product of two features in the upper triangle, stored row by row.
constexpr std::size_t product_at(std::size_t row, std::size_t column)
{
    return row * feature_count - row * (row - 1) / 2 + column - row;
}

/// Values of load_growth that are compared.
constexpr std::array<double, 9> growth_candidates{0, 0.5, 1, 1.5, 2, 4, 8, 16, 32};
/// Weight of the prior of load_growth relative to that of the other parameters; loads are reported
/// late, which makes the growth the least certain of them.
constexpr double growth_prior_share = 0.25;

constexpr int prior_rounds = 3;
/// Smallest share of the prior that a parameter is fitted to, since times are positive.
constexpr double smallest_share = 0.02;

struct solution {
    double base{0};
    double per_unit{0};
    double cost{0};
};

} // namespace

void first_token_moments::add(const first_token_inputs& inputs, double seconds, double expected,
                              double weight)
{
    const double units = inputs.uncached_tokens / tokens_per_unit;
    const std::array<double, feature_count> features{1, units, inputs.load_share,
                                                     units * inputs.load_share};
    const double scaled = weight / (expected * expected);
    std::size_t at = 0;
    for (std::size_t row = 0; row < feature_count; ++row) {
        for (std::size_t column = row; column < feature_count; ++column) {
            values_[at++] += static_cast<float>(scaled * features[row] * features[column]);
        }
    }
    for (const double feature : features) {
        values_[at++] += static_cast<float>(scaled * feature * seconds);
    }
    values_[squared_time_at] += static_cast<float>(scaled * seconds * seconds);
    values_[weight_at] += static_cast<float>(weight);
}

void first_token_moments::add(const first_token_moments& other)
{
    for (std::size_t i = 0; i < size; ++i) {
        values_[i] += other.values_[i];
    }
}

bool first_token_moments::assign(const std::array<float, size>& values)
{
    if (!std::ranges::all_of(values, [](float it) { return std::isfinite(it) && it >= 0; })) {
        return false;
    }
    values_ = values;
    return true;
}

/// The normal equations of base and per_token for a given load_growth.
class first_token_equations {
public:
    first_token_equations(const first_token_moments& moments, double growth)
    {
        const auto product = [&](std::size_t row, std::size_t column) {
            return static_cast<double>(moments.values_[product_at(row, column)]);
        };
        const auto with_time = [&](std::size_t row) {
            return static_cast<double>(moments.values_[time_products_at + row]);
        };
        const double squared = growth * growth;
        base_base_ = product(0, 0) + 2 * growth * product(0, 2) + squared * product(2, 2);
        base_unit_ =
            product(0, 1) + growth * (product(0, 3) + product(1, 2)) + squared * product(2, 3);
        unit_unit_ = product(1, 1) + 2 * growth * product(1, 3) + squared * product(3, 3);
        base_time_ = with_time(0) + growth * with_time(2);
        unit_time_ = with_time(1) + growth * with_time(3);
        squared_time_ = static_cast<double>(moments.values_[squared_time_at]);
    }

    /// The prior's error counts relative to the larger of the prior and the fitted value, so that a
    /// prior that is far too low does not outweigh the answers.
    [[nodiscard]] solution solve(const first_token_model& prior, double prior_weight) const
    {
        const double prior_unit = prior.per_token * tokens_per_unit;
        solution out{prior.base, prior_unit, 0};
        for (int round = 0; round < prior_rounds; ++round) {
            const double base_scale = std::max(prior.base, out.base);
            const double unit_scale = std::max(prior_unit, out.per_unit);
            const double base_prior = prior_weight / (base_scale * base_scale);
            const double unit_prior = prior_weight / (unit_scale * unit_scale);
            const double a = base_base_ + base_prior;
            const double c = unit_unit_ + unit_prior;
            const double first = base_time_ + base_prior * prior.base;
            const double second = unit_time_ + unit_prior * prior_unit;
            const double least_base = prior.base * smallest_share;
            const double least_unit = prior_unit * smallest_share;
            const double determinant = a * c - base_unit_ * base_unit_;
            out.base = (first * c - second * base_unit_) / determinant;
            out.per_unit = (second * a - first * base_unit_) / determinant;
            if (out.per_unit < least_unit) {
                out.per_unit = least_unit;
                out.base = std::max(least_base, (first - base_unit_ * least_unit) / a);
            }
            else if (out.base < least_base) {
                out.base = least_base;
                out.per_unit = std::max(least_unit, (second - base_unit_ * least_base) / c);
            }
            const double base_error = out.base - prior.base;
            const double unit_error = out.per_unit - prior_unit;
            out.cost = squared_time_ - 2 * (out.base * base_time_ + out.per_unit * unit_time_) +
                       out.base * out.base * base_base_ + 2 * out.base * out.per_unit * base_unit_ +
                       out.per_unit * out.per_unit * unit_unit_ +
                       base_prior * base_error * base_error + unit_prior * unit_error * unit_error;
        }
        return out;
    }

private:
    double base_base_{0};
    double base_unit_{0};
    double unit_unit_{0};
    double base_time_{0};
    double unit_time_{0};
    double squared_time_{0};
};

first_token_model fit_first_token(const first_token_moments& moments,
                                  const first_token_model& prior, double prior_weight)
{
    first_token_model best = prior;
    double least = std::numeric_limits<double>::infinity();
    for (const double growth : growth_candidates) {
        const solution found = first_token_equations{moments, growth}.solve(prior, prior_weight);
        const double distance = std::log((1 + growth) / (1 + prior.load_growth));
        const double cost = found.cost + growth_prior_share * prior_weight * distance * distance;
        if (cost < least) {
            least = cost;
            best = {found.base, found.per_unit / tokens_per_unit, growth};
        }
    }
    return best;
}

} // namespace wagtailhitch
