#include "base/clock.hpp"
#include "calibration/engine_calibration.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace wagtailhitch {
namespace {

/// An engine as it behaves, with noise in its answers.
struct simulated_engine {
    first_token_model truth;
    double noise{0.15}; ///< standard deviation of the logarithm of a time
    double largest_prompt{8000};

    [[nodiscard]] first_token_inputs draw_inputs(std::mt19937_64& generator) const
    {
        std::uniform_real_distribution<double> tokens{20, largest_prompt};
        std::uniform_real_distribution<double> load{0, 0.8};
        return {tokens(generator), load(generator)};
    }
    [[nodiscard]] duration answer(const first_token_inputs& inputs,
                                  std::mt19937_64& generator) const
    {
        std::normal_distribution<double> error{0, noise};
        const double seconds = truth.seconds(inputs) * std::exp(error(generator));
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }
};

class engine_calibration_test : public testing::Test {
protected:
    void observe(const engine_key& key, const simulated_engine& engine, int answers,
                 duration interval)
    {
        for (int i = 0; i < answers; ++i) {
            clock_.advance(interval);
            const auto inputs = engine.draw_inputs(generator_);
            calibration_.observe(key, inputs, engine.answer(inputs, generator_), clock_.now());
            (void)calibration_.model(key, clock_.now());
        }
    }
    /// Expected relative to true time, for inputs in the range of the observed ones.
    double ratio(const engine_key& key, const simulated_engine& engine, double tokens, double load)
    {
        const first_token_inputs inputs{tokens, load};
        return calibration_.model(key, clock_.now()).seconds(inputs) / engine.truth.seconds(inputs);
    }
    /// Largest factor between expected and true time.
    double worst_factor(const engine_key& key, const simulated_engine& engine)
    {
        double worst = 1;
        for (const double tokens : {500.0, 2000.0, 6000.0}) {
            for (const double load : {0.1, 0.5}) {
                const double it = ratio(key, engine, tokens, load);
                worst = std::max({worst, it, 1 / it});
            }
        }
        return worst;
    }

    manual_clock clock_;
    std::mt19937_64 generator_{7};
    engine_calibration calibration_{{}};
    const engine_key key_{"pool", "v1", 0};
    const simulated_engine engine_{{0.04, 1.0 / 40000, 1}};
};

/// 3 to 200 prompt tokens a millisecond, times that grow up to fivefold with the load.
simulated_engine random_engine(std::mt19937_64& generator)
{
    std::uniform_real_distribution<double> rate{std::log(3000.0), std::log(200000.0)};
    std::uniform_real_distribution<double> base{std::log(0.005), std::log(0.3)};
    std::uniform_real_distribution<double> growth{0, 4};
    return {{std::exp(base(generator)), std::exp(-rate(generator)), growth(generator)}};
}

TEST_F(engine_calibration_test, unknown_engine_is_expected_to_be_like_the_prior)
{
    const first_token_model expected = calibration_settings{}.prior;
    EXPECT_DOUBLE_EQ(calibration_.model(key_, clock_.now()).base, expected.base);
    EXPECT_EQ(calibration_.answers(key_), 0);
}

TEST_F(engine_calibration_test, two_hundred_random_engines_are_known_after_fifty_answers)
{
    for (int i = 0; i < 200; ++i) {
        const engine_key key{"pool-" + std::to_string(i), "v1", 0};
        const simulated_engine engine = random_engine(generator_);
        observe(key, engine, 50, 50ms);
        EXPECT_LE(worst_factor(key, engine), 1.5)
            << "Engine " << i << ": base " << engine.truth.base << " s, "
            << 1 / engine.truth.per_token << " tokens/s, growth " << engine.truth.load_growth
            << "; learned base " << calibration_.model(key, clock_.now()).base << " s, "
            << 1 / calibration_.model(key, clock_.now()).per_token << " tokens/s, growth "
            << calibration_.model(key, clock_.now()).load_growth;
    }
}

TEST_F(engine_calibration_test, change_of_speed_by_four_is_followed_within_three_seconds)
{
    for (const double factor : {4.0, 0.25}) {
        const engine_key key{"changing-" + std::to_string(factor), "v1", 0};
        observe(key, engine_, 200, 50ms);
        simulated_engine changed = engine_;
        changed.truth.base *= factor;
        changed.truth.per_token *= factor;
        observe(key, changed, 60, 50ms);
        EXPECT_LE(worst_factor(key, changed), 1.5) << "The speed changed by " << factor << ".";
    }
}

TEST_F(engine_calibration_test, one_slow_replica_of_six_changes_little)
{
    simulated_engine slow = engine_;
    slow.truth.base *= 10;
    slow.truth.per_token *= 10;
    for (int i = 0; i < 20; ++i) {
        observe(key_, engine_, 5, 40ms);
        observe(key_, slow, 1, 40ms);
    }
    EXPECT_LE(worst_factor(key_, engine_), 1.5);
}

TEST_F(engine_calibration_test, engine_without_further_answers_keeps_what_was_learned)
{
    observe(key_, engine_, 60, 50ms);
    clock_.advance(40s);
    EXPECT_LE(worst_factor(key_, engine_), 1.5);
}

TEST_F(engine_calibration_test, new_software_and_larger_models_start_from_what_is_known)
{
    observe(key_, engine_, 60, 50ms);
    EXPECT_NEAR(ratio({"pool", "v2", 0}, engine_, 2000, 0.2), 1, 0.5)
        << "New software should start from the speed of the old one.";
    EXPECT_NEAR(ratio({"pool", "v1", 1}, engine_, 2000, 0.2), calibration_settings{}.model_ratio, 1)
        << "A larger model should start as a multiple of the smaller one.";
}

TEST_F(engine_calibration_test, vm_with_few_answers_learns_from_its_peers)
{
    engine_calibration other{{}};
    observe(key_, engine_, 60, 20ms);
    other.take("vm-2", calibration_source::member, calibration_.report(false, clock_.now()),
               clock_.now());
    const first_token_inputs inputs{3000, 0.3};
    EXPECT_NEAR(other.model(key_, clock_.now()).seconds(inputs) / engine_.truth.seconds(inputs), 1,
                0.5);
    EXPECT_GT(other.answers(key_), 10);
}

TEST_F(engine_calibration_test, domain_totals_count_each_members_answers_once)
{
    observe(key_, engine_, 30, 10ms);
    engine_calibration speaker{{}};
    const auto of_member = calibration_.report(false, clock_.now());
    speaker.take("vm-2", calibration_source::member, of_member, clock_.now());
    speaker.take("b", calibration_source::other_domain, of_member, clock_.now());
    (void)speaker.model(key_, clock_.now());
    const auto totals = speaker.report(true, clock_.now());
    ASSERT_EQ(totals.size(), 1U);
    EXPECT_FLOAT_EQ(totals.front().moments.back(), of_member.front().moments.back())
        << "Totals of a domain must leave out what other domains reported.";
}

TEST_F(engine_calibration_test, reports_of_a_silent_peer_expire)
{
    observe(key_, engine_, 30, 10ms);
    engine_calibration other{{}};
    other.take("vm-2", calibration_source::member, calibration_.report(false, clock_.now()),
               clock_.now());
    clock_.advance(calibration_settings{}.report_lifetime);
    (void)other.model(key_, clock_.now());
    EXPECT_EQ(other.answers(key_), 0);
}

TEST_F(engine_calibration_test, report_that_holds_no_sums_is_ignored)
{
    reported_calibration broken;
    broken.engine = engine_calibration::id_of(key_);
    broken.moments.fill(std::numeric_limits<float>::quiet_NaN());
    calibration_.take("vm-2", calibration_source::member, {broken}, clock_.now());
    const first_token_model learned = calibration_.model(key_, clock_.now());
    EXPECT_TRUE(std::isfinite(learned.base));
    EXPECT_EQ(calibration_.answers(key_), 0);
}

TEST_F(engine_calibration_test, engines_that_are_no_longer_used_are_forgotten)
{
    observe(key_, engine_, 5, 10ms);
    clock_.advance(calibration_settings{}.engine_lifetime);
    calibration_.sweep(clock_.now());
    EXPECT_TRUE(calibration_.engines().empty());
}

RC_GTEST_PROP(engine_calibration_property, model_stays_positive_and_finite_for_any_answers, ())
{
    manual_clock clock;
    engine_calibration calibration{{}};
    const engine_key key{"pool", "v1", 2};
    const auto answers = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, 200000), rc::gen::inRange(0, 100), rc::gen::inRange(0, 60000)));
    for (const auto& [tokens, load, milliseconds] : answers) {
        clock.advance(10ms);
        calibration.observe(key, {static_cast<double>(tokens), load / 100.0},
                            std::chrono::milliseconds{milliseconds}, clock.now());
        const first_token_model model = calibration.model(key, clock.now());
        RC_ASSERT(std::isfinite(model.seconds({1e5, 1})));
        RC_ASSERT(model.base > 0);
        RC_ASSERT(model.per_token > 0);
    }
}

} // namespace
} // namespace wagtailhitch
