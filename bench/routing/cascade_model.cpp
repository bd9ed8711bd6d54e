#include "routing/cascade_model.hpp"

#include "cascade/cascade_policy.hpp"
#include "routing/report.hpp"

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace wagtailhitch::bench {

namespace {

constexpr int requests = 40000;
constexpr std::uint64_t seeds = 5;

// Share of the answers that are rated, and the delay of a rating in requests.
constexpr double rated_share = 0.1;
constexpr std::size_t rating_delay = 2000;

// Probability that an engine signals low confidence in an answer of the cheap model.
constexpr double signal_on_insufficient = 0.6;
constexpr double signal_on_sufficient = 0.05;

struct quality_scenario {
    std::string name;
    double declared{0};   ///< quality of the cheap model as its operators state it
    double first_half{0}; ///< its actual quality
    double second_half{0};
    double target{0.85};
};

constexpr double best_quality = 0.96;
constexpr double cheap_cost = 0.1;
constexpr double best_cost = 1;

struct outcome {
    double cost{0};
    double sufficient{0};
    double worst_tenth{1}; ///< lowest share of sufficient answers in a tenth of the run
};

struct late_rating {
    std::size_t step{0};
    bool sufficient{false};
};

using start_rule = std::function<std::size_t(const sufficiency_table&, std::mt19937_64&)>;

// The quality value models the difficulty of a kind of request: an answer of the cheap model is
// sufficient with that probability. The best model then answers an insufficiently answered request
// sufficiently with its own probability.
outcome run_quality_scenario(const quality_scenario& quality_scenario, const start_rule& start,
                             bool escalates, std::uint64_t seed)
{
    std::mt19937_64 generator{seed};
    const auto happens = [&](double p) { return std::bernoulli_distribution{p}(generator); };
    sufficiency_table table{{vm_id{"vm"}, 1}, {}};
    const std::vector<model_id> models{model_id{"cheap"}, model_id{"best"}};
    std::deque<std::optional<late_rating>> ratings;
    outcome result;
    double tenth = 0;
    for (int i = 0; i < requests; ++i) {
        const double quality =
            i < requests / 2 ? quality_scenario.first_half : quality_scenario.second_half;
        std::size_t step = start(table, generator);
        bool sufficient = happens(step == 0 ? quality : best_quality);
        result.cost += step == 0 ? cheap_cost : best_cost;
        const bool signal = happens(sufficient ? signal_on_sufficient : signal_on_insufficient);
        if (step == 0 && escalates && signal) {
            step = 1;
            sufficient = happens(best_quality);
            result.cost += best_cost;
        }
        result.sufficient += sufficient ? 1 : 0;
        tenth += sufficient ? 1 : 0;
        if ((i + 1) % (requests / 10) == 0) {
            result.worst_tenth = std::min(result.worst_tenth, tenth / (requests / 10.0));
            tenth = 0;
        }
        ratings.push_back(happens(rated_share) ? std::optional{late_rating{step, sufficient}}
                                               : std::nullopt);
        if (ratings.size() > rating_delay) {
            if (const auto rating = ratings.front()) {
                table.record("route", models[rating->step], rating->sufficient);
            }
            ratings.pop_front();
        }
    }
    result.cost /= requests;
    result.sufficient /= requests;
    return result;
}

outcome average(const quality_scenario& quality_scenario, const start_rule& start, bool escalates)
{
    outcome sum{0, 0, 0};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome one = run_quality_scenario(quality_scenario, start, escalates, seed);
        sum.cost += one.cost / seeds;
        sum.sufficient += one.sufficient / seeds;
        sum.worst_tenth += one.worst_tenth / seeds;
    }
    return sum;
}

void print_outcomes(const std::string& name, const outcome& baseline, const outcome& current,
                    double target)
{
    print_line(name + "/cost", baseline.cost, current.cost, "money", "lower");
    print_line(name + "/sufficient", baseline.sufficient, current.sufficient, "share", "higher");
    print_line(name + "/worst_tenth_over_target", baseline.worst_tenth / target,
               current.worst_tenth / target, "ratio", "higher");
}

} // namespace

void compare_cascades()
{
    const std::vector<quality_scenario> quality_scenarios{
        {"as_declared", 0.9, 0.9, 0.9, 0.85},          {"worse_than_declared", 0.9, 0.6, 0.6, 0.85},
        {"better_than_declared", 0.7, 0.9, 0.9, 0.85}, {"becomes_bad", 0.9, 0.9, 0.5, 0.85},
        {"becomes_good", 0.7, 0.6, 0.92, 0.85},        {"near_the_target", 0.86, 0.85, 0.85, 0.85},
    };
    for (const auto& quality_scenario : quality_scenarios) {
        const auto by_policy = [&quality_scenario](const cascade_settings& settings) {
            return [&quality_scenario, policy = cascade_policy{settings}](
                       const sufficiency_table& table, std::mt19937_64& generator) {
                const std::vector<cascade_step_info> steps{
                    {model_id{"cheap"}, quality_scenario.declared, 1s, true},
                    {model_id{"best"}, best_quality, 4s, true}};
                const cascade_request request{"route", quality_scenario.target, 20s, true};
                return policy.first_step(table, request, steps, generator).value();
            };
        };
        const start_rule cheap = [](const auto&, auto&) { return std::size_t{0}; };
        const start_rule best = [](const auto&, auto&) { return std::size_t{1}; };
        const start_rule split = [](const auto&, auto& generator) {
            return static_cast<std::size_t>(generator() % 2);
        };
        const outcome current = average(quality_scenario, by_policy({}), true);
        const std::string prefix = "cascade/" + quality_scenario.name + "/vs_";
        const auto compare = [&](const std::string& name, const outcome& baseline) {
            print_outcomes(prefix + name, baseline, current, quality_scenario.target);
        };
        compare("always_cheap", average(quality_scenario, cheap, false));
        compare("always_best", average(quality_scenario, best, false));
        compare("fixed_split", average(quality_scenario, split, false));
        compare("cheap_with_escalation", average(quality_scenario, cheap, true));
        compare("no_exploration",
                average(quality_scenario,
                        by_policy({.exploration = 0, .insufficient_exploration = 0}), true));
        compare("minimum_ratings_100",
                average(quality_scenario, by_policy({.minimum_ratings = 100}), true));
        compare("z_1.96", average(quality_scenario, by_policy({.z = 1.96}), true));
        compare("z_0.84", average(quality_scenario, by_policy({.z = 0.84}), true));
    }
}

} // namespace wagtailhitch::bench
