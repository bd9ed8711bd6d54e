#pragma once

#include <array>
#include <cstddef>

// Fits the time to the first token of an engine:
//
//   time = (base + per_token * uncached prompt tokens) * (1 + load_growth * load share)
//
// The inputs are weighted moments, which add up over VMs:
//
//   first_token_moments sums;
//   sums.add({.uncached_tokens = 900, .load_share = 0.4}, seconds, weight);
//   sums.add(moments_of_another_vm);
//   first_token_model fitted = fit_first_token(sums, prior, prior_weight);

namespace wagtailhitch {

/// What the time to the first token depends on.
struct first_token_inputs {
    double uncached_tokens{0}; ///< prompt tokens that the engine must process
    double load_share{0};      ///< requests at the replica relative to its slots, at most 1
};

struct first_token_model {
    double base{0};        ///< seconds, of an idle replica and an empty prompt
    double per_token{0};   ///< seconds per uncached prompt token at an idle replica
    double load_growth{0}; ///< relative increase of both at a replica whose slots are all in use

    /// Expected time to the first token in seconds.
    [[nodiscard]] double seconds(const first_token_inputs& inputs) const
    {
        return (base + per_token * inputs.uncached_tokens) * (1 + load_growth * inputs.load_share);
    }
};

/// Weighted sums over answers, from which fit_first_token() computes the model without the answers.
class first_token_moments {
public:
    /// Number of values that values() returns.
    static constexpr std::size_t size = 16;

    /// `weight`: 1 for an answer that counts in full. `expected` scales the answer's error, so that
    /// errors count relative to it.
    void add(const first_token_inputs& inputs, double seconds, double expected, double weight);
    void add(const first_token_moments& other);

    /// Sum of the weights.
    [[nodiscard]] double answers() const { return values_[size - 1]; }
    [[nodiscard]] const std::array<float, size>& values() const { return values_; }
    /// Returns false, without effect, if the values are not sums of finite weights and times.
    bool assign(const std::array<float, size>& values);

private:
    friend class first_token_equations;
    std::array<float, size> values_{};
};

/// Returns the model with the least weighted squared relative error. `prior` counts like
/// `prior_weight` answers.
first_token_model fit_first_token(const first_token_moments& moments,
                                  const first_token_model& prior, double prior_weight);

} // namespace wagtailhitch
