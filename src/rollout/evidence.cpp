#include "rollout/evidence.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace wagtailhitch {

namespace {

constexpr std::size_t signal_count = 5;
// Quantile of the one-sided 95 % confidence bound for the baseline's rate. bench/rollout_main.cpp
// measures the remaining false alarms.
constexpr double baseline_z = 1.645;
constexpr double max_rate = 0.99;
constexpr double max_worse_rate = 0.995;
// Tested rates, as positions between the smallest rate that counts as worse (0) and
// max_worse_rate (1).
constexpr std::array alternatives{0.0, 0.1, 0.25, 0.5};
constexpr double max_exponent = 700; // exp() overflows above 709
// With fewer answers, the share of rated answers is not meaningful.
constexpr std::uint64_t min_answers_for_coverage = 100;

/// Returns the upper bound of the Wilson score interval for `bad` of `n`.
double upper_rate(double bad, double n)
{
    const double z2 = baseline_z * baseline_z;
    const double p = bad / n;
    const double centre = p + z2 / (2 * n);
    const double spread = baseline_z * std::sqrt(p * (1 - p) / n + z2 / (4 * n * n));
    return std::min(max_rate, (centre + spread) / (1 + z2 / n));
}

struct signal {
    const char* name;
    double bad;
    double n;
    double assumed;              ///< rate assumed for the baseline
    double min_worse_difference; ///< smallest difference that counts as worse
};

/// Returns the log likelihood ratio of the rate `worse` against the baseline's rate. Counts may be
/// fractional: by convexity, the ratio stays a supermartingale for values between 0 and 1.
double log_ratio(const signal& s, double worse)
{
    return s.bad * std::log(worse / s.assumed) +
           (s.n - s.bad) * std::log((1 - worse) / (1 - s.assumed));
}

/// Returns the logarithm of the mean likelihood ratio over several rates. The mean keeps the false
/// alarm rate and detects a version that is much worse sooner than the smallest difference alone.
double log_likelihood_ratio(const signal& s, const evidence_settings& settings)
{
    const double min_worse_rate =
        std::max(s.assumed * settings.min_worse_ratio, s.assumed + s.min_worse_difference);
    double sum = 0;
    for (const double share : alternatives) {
        const double worse =
            std::min(max_worse_rate, min_worse_rate + (max_worse_rate - min_worse_rate) * share);
        sum += std::exp(std::min(max_exponent, log_ratio(s, worse)));
    }
    return std::log(sum / static_cast<double>(alternatives.size()));
}

std::string describe(const signal& s)
{
    std::ostringstream out;
    out.precision(3);
    out << "Of " << s.n << " answers, " << s.bad << " count as " << s.name << "; baseline rate: "
        << "at most " << s.assumed << ".";
    return out.str();
}

} // namespace

version_counts& version_counts::operator+=(const version_counts& other)
{
    answers += other.answers;
    errors += other.errors;
    slow += other.slow;
    dragged += other.dragged;
    paced += other.paced;
    sluggish += other.sluggish;
    ratings += other.ratings;
    insufficient += other.insufficient;
    return *this;
}

void evidence_pool::set(const process_id& from, const version_id& version,
                        const version_counts& counts)
{
    auto& latest = counts_[version][from];
    latest.answers = std::max(latest.answers, counts.answers);
    latest.errors = std::max(latest.errors, counts.errors);
    latest.slow = std::max(latest.slow, counts.slow);
    latest.dragged = std::max(latest.dragged, counts.dragged);
    latest.paced = std::max(latest.paced, counts.paced);
    latest.sluggish = std::max(latest.sluggish, counts.sluggish);
    latest.insufficient =
        counts.ratings >= latest.ratings ? counts.insufficient : latest.insufficient;
    latest.ratings = std::max(latest.ratings, counts.ratings);
}

version_counts evidence_pool::total(const version_id& version) const
{
    version_counts out;
    const auto it = counts_.find(version);
    if (it != counts_.end()) {
        for (const auto& [process, counts] : it->second) {
            out += counts;
        }
    }
    return out;
}

std::vector<version_id> evidence_pool::versions() const
{
    std::vector<version_id> out;
    out.reserve(counts_.size());
    for (const auto& [version, processes] : counts_) {
        out.push_back(version);
    }
    return out;
}

std::vector<evidence_entry> evidence_pool::entries() const
{
    std::vector<evidence_entry> out;
    for (const auto& [version, processes] : counts_) {
        for (const auto& [process, counts] : processes) {
            out.push_back({process, version, counts});
        }
    }
    return out;
}

evidence_verdict evaluate_evidence(const version_counts& fresh, const version_counts& baseline,
                                   double declared_quality, const evidence_settings& settings)
{
    const auto n = static_cast<double>(fresh.answers);
    const auto base = static_cast<double>(baseline.answers);
    const auto prior = settings.prior_ratings;
    const std::array<signal, signal_count> all{
        signal{"insufficient", fresh.insufficient, static_cast<double>(fresh.ratings),
               upper_rate(baseline.insufficient + (1 - declared_quality) * prior,
                          static_cast<double>(baseline.ratings) + prior),
               settings.min_worse_difference},
        signal{"errors", static_cast<double>(fresh.errors), n,
               upper_rate(static_cast<double>(baseline.errors) + settings.prior_errors * prior,
                          base + prior),
               settings.min_worse_difference},
        signal{"slow", static_cast<double>(fresh.slow), n,
               upper_rate(static_cast<double>(baseline.slow) + settings.prior_slow * prior,
                          base + prior),
               settings.min_slow_difference},
        signal{"dragged", static_cast<double>(fresh.dragged), n,
               upper_rate(static_cast<double>(baseline.dragged) + settings.prior_dragged * prior,
                          base + prior),
               settings.min_dragged_difference},
        signal{"sluggish", static_cast<double>(fresh.sluggish), static_cast<double>(fresh.paced),
               std::min(settings.max_assumed_sluggish,
                        upper_rate(static_cast<double>(baseline.sluggish) +
                                       settings.prior_sluggish * prior,
                                   static_cast<double>(baseline.paced) + prior)),
               settings.min_worse_difference},
    };
    const double threshold =
        std::log(static_cast<double>(signal_count) / settings.false_alarm_rate);
    evidence_verdict verdict;
    for (const auto& s : all) {
        const double ratio = log_likelihood_ratio(s, settings);
        if (ratio >= threshold) {
            return {true, true, describe(s)};
        }
        if (ratio >= std::log(settings.doubt_ratio)) {
            verdict.in_doubt = true;
            verdict.reason = describe(s);
        }
    }
    return verdict;
}

bool ratings_missing(const version_counts& fresh, const version_counts& baseline)
{
    if (fresh.answers < min_answers_for_coverage || baseline.answers < min_answers_for_coverage) {
        return false;
    }
    const auto share = [](const version_counts& c) {
        return static_cast<double>(c.ratings) / static_cast<double>(c.answers);
    };
    return share(fresh) < share(baseline) / 2;
}

} // namespace wagtailhitch
