#pragma once

#include "base/clock.hpp"
#include "calibration/first_token_fit.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Learns how long the engines of a service take to the first token of an answer, for each software
// version and model, from the answers that this VM and its peers received. No figure of an engine
// is configured.
//
//   engine_calibration calibration{{}};
//   calibration.observe(engine, {.uncached_tokens = 900, .load_share = 0.2}, 130ms, now);
//   calibration.take(peer, scope, reported, now);      // what another VM observed
//   double seconds = calibration.model(engine, now).seconds(inputs);
//
// One slow replica or a short queue does not change the result much; a change of all answers does,
// within seconds.

namespace wagtailhitch {

/// Identifies engines that are expected to be equally fast.
struct engine_key {
    std::string service;
    std::string software;
    std::size_t model{0}; ///< index into the route's models, smallest first; 0 without models

    friend auto operator<=>(const engine_key&, const engine_key&) = default;
};

/// Moments of the answers that one VM, or all VMs of a failure domain, received from an engine.
struct reported_calibration {
    std::uint64_t engine{0}; ///< engine_calibration::id_of()
    std::array<float, first_token_moments::size> moments{};

    friend bool operator==(const reported_calibration&, const reported_calibration&) = default;
};

/// `member`: a VM of this failure domain; `other_domain`: the totals of another failure domain.
enum class calibration_source { member, other_domain };

struct calibration_settings {
    /// Assumed of an engine of which nothing is known.
    first_token_model prior{0.05, 1.0 / 20000, 1};
    double prior_weight{1}; ///< in answers
    /// Assumed ratio of the times of a model to those of the next smaller one.
    double model_ratio{2};
    std::size_t answers_kept{64}; ///< for each engine
    /// Answers lose weight exponentially with this time constant.
    duration memory{5s};
    /// Number of answers in a row that must all be faster or all slower than expected by
    /// `change_factor` for older ones to be dropped.
    std::size_t change_run{8};
    double change_factor{1.8};
    /// Answers whose time differs from the typical one by more than this factor lose weight.
    double outlier_factor{2.5};
    /// Minimum time between two computations of a model, once `answers_kept` answers are known.
    duration refresh_interval{200ms};
    /// Reports of a peer that are older than this are dropped.
    duration report_lifetime{3s};
    /// An engine without answers for this long is forgotten.
    duration engine_lifetime{60s};
};

class engine_calibration {
public:
    explicit engine_calibration(calibration_settings settings) : settings_{settings} {}

    static std::uint64_t id_of(const engine_key& engine);

    /// Records the time to the first token of an answer, without the network's latency. Requests
    /// that waited for a slot of the replica must not be recorded.
    void observe(const engine_key& engine, const first_token_inputs& inputs, duration first_token,
                 time_point now);
    /// Replaces what a peer reported.
    void take(const std::string& peer, calibration_source source,
              const std::vector<reported_calibration>& reported, time_point now);
    /// What to report: this VM's answers or, for `totals`, those of all members of its domain.
    [[nodiscard]] std::vector<reported_calibration> report(bool totals, time_point now);

    [[nodiscard]] first_token_model model(const engine_key& engine, time_point now);
    /// Number of answers, by weight, that the model of an engine is based on.
    [[nodiscard]] double answers(const engine_key& engine) const;
    [[nodiscard]] std::vector<engine_key> engines() const;
    /// Forgets engines and reports that have expired.
    void sweep(time_point now);

private:
    struct answer {
        first_token_inputs inputs;
        double seconds{0};
        time_point at;
    };
    struct engine_state {
        std::uint64_t id{0};
        std::deque<answer> answers; ///< of this VM, oldest first
        first_token_model fitted;
        double weight{0}; ///< answers that `fitted` is based on
        /// The last model that enough answers supported; the prior of the next one.
        std::optional<first_token_model> anchor;
        bool changed{true}; ///< answers arrived since `fitted` was computed
        time_point fitted_at;
        time_point used_at;
    };
    struct peer_report_state {
        calibration_source source{calibration_source::member};
        time_point at;
        std::unordered_map<std::uint64_t, first_token_moments> moments;
    };

    engine_state& state_of(const engine_key& engine, time_point now);
    [[nodiscard]] first_token_model prior_of(const engine_key& engine) const;
    void forget_before_change(engine_state& state) const;
    [[nodiscard]] first_token_moments own_moments(const engine_state& state, time_point now) const;
    [[nodiscard]] first_token_moments peer_moments(std::uint64_t id, bool members_only,
                                                   time_point now) const;
    void refit(const engine_key& engine, engine_state& state, time_point now);

    calibration_settings settings_;
    std::map<engine_key, engine_state> engines_;
    std::map<std::string, peer_report_state> peers_;
};

} // namespace wagtailhitch
