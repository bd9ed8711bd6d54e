#include "rollout/stepper.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <random>

// Simulates roll-outs of good and bad versions in virtual time and compares the sequential test
// with a canary that checks the ratings once, at the end of each stage of fixed length. Both are
// meant to halt at most 1 % of good versions.
//
//   rollout --runs 400 --seeds 5
//
// Prints one JSON object for each measure: name, baseline (canary), current (sequential test),
// ratio, unit, better.

namespace {

using namespace wagtailhitch;

constexpr duration time_step = 5s;
constexpr duration horizon = std::chrono::hours{1};
constexpr double requests_per_step = 50; // 10 requests/s, the size of the sample deployments
constexpr std::size_t longest_rating_delay = 24; // steps: ratings arrive after 0 to 2 minutes
constexpr int warm_up_steps = 120;               // the baseline has served for 10 minutes
// One-sided normal quantile of 1 % / 5 stages: the canary's checks share its false-alarm rate.
constexpr double canary_z = 2.878;

struct version_rates {
    double insufficient{0.1};
    double errors{0.005};
    double slow{0.03};
    double rated{0.3}; ///< most answers are never rated
};

/// A bad version's answers are also rated less often.
constexpr version_rates bad_rates{0.25, 0.005, 0.03, 0.2};

struct run_result {
    bool halted{false};
    std::uint64_t exposed{0}; ///< answers given by the new version
    std::optional<duration> full_after;
};

/// Answers of one version with ratings that arrive late.
class traffic {
public:
    traffic(version_rates rates, std::mt19937_64& random) : rates_{rates}, random_{random} {}

    void answer(std::uint64_t n)
    {
        const auto rated = draw(n, rates_.rated);
        counts_.answers += n;
        counts_.errors += draw(n, rates_.errors);
        counts_.slow += draw(n, rates_.slow);
        std::uniform_int_distribution<std::size_t> delay{0, longest_rating_delay};
        late_.resize(std::max(late_.size(), longest_rating_delay + 1));
        late_[delay(random_)] += rated;
        const auto arrived = late_.front();
        late_.pop_front();
        counts_.ratings += arrived;
        counts_.insufficient += static_cast<double>(draw(arrived, rates_.insufficient));
    }

    [[nodiscard]] const version_counts& counts() const { return counts_; }

private:
    std::uint64_t draw(std::uint64_t n, double p)
    {
        return std::binomial_distribution<std::uint64_t>{n, p}(random_);
    }

    version_rates rates_;
    std::mt19937_64& random_;
    version_counts counts_;
    std::deque<std::uint64_t> late_;
};

version_spec make_spec()
{
    version_spec out;
    out.state = version_state::rolling;
    out.rollout = {
        {100, 5, 120s}, {1000, 20, 120s}, {2500, 40, 120s}, {5000, 80, 120s}, {10000, 0, 0s}};
    return out;
}

double bad_share(const version_counts& c)
{
    return c.ratings == 0 ? 0 : c.insufficient / static_cast<double>(c.ratings);
}

/// Whether the shares of insufficient ratings differ significantly (two-sample z-test).
bool significantly_worse(const version_counts& fresh, const version_counts& baseline)
{
    if (fresh.ratings == 0 || baseline.ratings == 0) {
        return false;
    }
    const auto n = static_cast<double>(fresh.ratings);
    const auto m = static_cast<double>(baseline.ratings);
    const double pooled = (fresh.insufficient + baseline.insufficient) / (n + m);
    const double error = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
    return bad_share(fresh) - bad_share(baseline) > canary_z * error;
}

/// Steps after each stage's fixed time; halts there when the rates differ significantly.
class canary {
public:
    std::optional<rollout_record> decide(const rollout_inputs& facts, time_point now)
    {
        const auto step = facts.progress.step;
        if (facts.progress.halted || step >= facts.spec.rollout.size()) {
            return std::nullopt;
        }
        if (step > 0 && now - entered_at_ < facts.spec.rollout[step - 1].minimum_time) {
            return std::nullopt;
        }
        entered_at_ = now;
        if (significantly_worse(facts.fresh, facts.baseline)) {
            return rollout_record{rollout_record_kind::halt, facts.version, step, 0, "rate", {}};
        }
        return rollout_record{rollout_record_kind::step, facts.version, step + 1, 1, {}, {}};
    }

private:
    time_point entered_at_;
};

template<typename Decider>
run_result simulate(Decider decider, const version_rates& rates, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    manual_clock clock;
    traffic fresh{rates, random};
    traffic baseline{{}, random};
    rollout_fold fold;
    rollout_inputs facts{version_id{"new"}, make_spec(), {}, {}, {}, 0.9, true, 1};
    run_result out;
    log_offset offset = 0;
    std::poisson_distribution<std::uint64_t> arrivals{requests_per_step};
    for (int i = 0; i < warm_up_steps; ++i) {
        baseline.answer(arrivals(random));
    }
    const auto started_at = clock.now();
    while (clock.now() - started_at < horizon && !out.halted) {
        clock.advance(time_step);
        const auto share = fold.exposed_basis_points(facts.version, facts.spec);
        const auto n = arrivals(random);
        const auto exposed =
            std::binomial_distribution<std::uint64_t>{n, share / double{full_share}}(random);
        fresh.answer(exposed);
        baseline.answer(n - exposed);
        out.exposed += exposed;
        if (share == full_share && !out.full_after) {
            out.full_after = clock.now() - started_at;
        }
        facts.fresh = fresh.counts();
        facts.baseline = baseline.counts();
        if (auto record = decider.decide(facts, clock.now())) {
            fold.apply(offset++, encode_rollout_record(*record));
        }
        if (const auto* progress = fold.find(facts.version)) {
            facts.progress = *progress;
            out.halted = progress->halted;
        }
    }
    return out;
}

struct summary {
    double halted{0}; ///< share of the runs
    double exposed{0};
    double full_after_s{0}; ///< mean of the runs that got there
};

template<typename Make>
summary repeat(Make make, const version_rates& rates, std::uint64_t seed, std::uint64_t runs)
{
    summary out;
    double full = 0;
    for (std::uint64_t i = 0; i < runs; ++i) {
        const auto result = simulate(make(), rates, seed * 1'000'003 + i);
        out.halted += result.halted ? 1 : 0;
        out.exposed += static_cast<double>(result.exposed);
        if (result.full_after) {
            out.full_after_s += static_cast<double>(to_milliseconds(*result.full_after)) / 1000;
            ++full;
        }
    }
    out.halted /= static_cast<double>(runs);
    out.exposed /= static_cast<double>(runs);
    out.full_after_s /= std::max(1.0, full);
    return out;
}

void print(const std::string& name, double baseline, double current, const std::string& unit,
           const std::string& better)
{
    const nlohmann::json ratio = baseline > 0 ? nlohmann::json(current / baseline) : nullptr;
    std::cout << nlohmann::json{{"name", name},   {"baseline", baseline}, {"current", current},
                                {"ratio", ratio}, {"unit", unit},         {"better", better}}
                     .dump()
              << std::endl;
}

struct measured {
    summary good;
    summary bad;

    measured& operator+=(const measured& other)
    {
        for (const auto member : {&measured::good, &measured::bad}) {
            (this->*member).halted += (other.*member).halted;
            (this->*member).exposed += (other.*member).exposed;
            (this->*member).full_after_s += (other.*member).full_after_s;
        }
        return *this;
    }
};

void report(const std::string& suffix, const measured& fixed, const measured& tested, double n)
{
    print("rollout_false_alarm_rate" + suffix, fixed.good.halted / n, tested.good.halted / n,
          "share of good roll-outs", "lower");
    print("rollout_bad_version_exposure_mean" + suffix, fixed.bad.exposed / n,
          tested.bad.exposed / n, "answers", "lower");
    print("rollout_bad_version_missed_rate" + suffix, 1 - fixed.bad.halted / n,
          1 - tested.bad.halted / n, "share of bad roll-outs", "lower");
    print("rollout_good_version_time_to_full" + suffix, fixed.good.full_after_s / n,
          tested.good.full_after_s / n, "s", "lower");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Compares the sequential test of roll-outs with a fixed-step canary"};
    std::uint64_t runs = 400;
    std::uint64_t seeds = 5;
    app.add_option("--runs", runs, "Roll-outs for each seed and kind of version")
        ->check(CLI::Range(1, 100'000));
    app.add_option("--seeds", seeds, "Number of seeds, from 1 on")->check(CLI::Range(1, 100));
    CLI11_PARSE(app, argc, argv);
    const auto make_test = [] { return rollout_stepper{vm_id{"a-1"}}; };
    const auto make_canary = [] { return canary{}; };
    measured fixed_total;
    measured tested_total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const measured fixed{repeat(make_canary, {}, seed, runs),
                             repeat(make_canary, bad_rates, seed, runs)};
        const measured tested{repeat(make_test, {}, seed, runs),
                              repeat(make_test, bad_rates, seed, runs)};
        report("/seed_" + std::to_string(seed), fixed, tested, 1);
        fixed_total += fixed;
        tested_total += tested;
    }
    report("", fixed_total, tested_total, static_cast<double>(seeds));
    return 0;
}
