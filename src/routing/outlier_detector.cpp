#include "routing/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhitch {

namespace {

// After this many base ejection times in service, the next ejection lasts the base time again.
constexpr int ejection_reset_factor = 10;

constexpr std::uint32_t max_doublings = 16;

} // namespace

outlier_detector::outlier_detector(outlier_settings settings) : settings_{settings} {}

bool outlier_detector::record(replica_index replica, bool succeeded, pool_ejections pool_counts,
                              time_point now)
{
    history& entry = at(replica);
    decay(entry, now);
    (succeeded ? entry.successes : entry.failures) += 1;
    (succeeded ? entry.unshared.successes : entry.unshared.failures) += 1;
    entry.consecutive = succeeded ? 0 : entry.consecutive + 1;
    return !succeeded && eject_if_failing(entry, pool_counts, now);
}

bool outlier_detector::merge(replica_index replica, outcome_counts counts,
                             pool_ejections pool_counts, time_point now)
{
    history& entry = at(replica);
    decay(entry, now);
    entry.successes += counts.successes;
    entry.failures += counts.failures;
    if (counts.successes > 0) {
        entry.consecutive = 0;
    }
    else {
        entry.consecutive += counts.failures;
    }
    return counts.failures > 0 && eject_if_failing(entry, pool_counts, now);
}

bool outlier_detector::record_trial(replica_index replica, bool succeeded, time_point now)
{
    history& entry = at(replica);
    entry.trial_started = time_point{};
    if (!entry.ejected) {
        return false;
    }
    (succeeded ? entry.unshared.successes : entry.unshared.failures) += 1;
    if (!succeeded) {
        eject(entry, now);
        return true;
    }
    if (++entry.trials_passed >= settings_.trial_successes) {
        entry.ejected = false;
        entry.returned_at = now;
        entry.successes = 0;
        entry.failures = 0;
        entry.consecutive = 0;
    }
    return false;
}

void outlier_detector::begin_trial(replica_index replica, time_point now)
{
    at(replica).trial_started = now;
}

void outlier_detector::abandon_trial(replica_index replica)
{
    at(replica).trial_started = time_point{};
}

void outlier_detector::reset(replica_index replica)
{
    at(replica) = {};
}

outcome_counts outlier_detector::take_counts(replica_index replica)
{
    return std::exchange(at(replica).unshared, {});
}

outlier_state outlier_detector::state(replica_index replica, time_point now) const
{
    if (replica >= histories_.size() || !histories_[replica].ejected) {
        return outlier_state::in_service;
    }
    return now < histories_[replica].ejected_until ? outlier_state::ejected : outlier_state::trial;
}

bool outlier_detector::admits(replica_index replica, time_point now) const
{
    const outlier_state current = state(replica, now);
    if (current != outlier_state::trial) {
        return current == outlier_state::in_service;
    }
    const time_point started = histories_[replica].trial_started;
    return started == time_point{} || now >= started + settings_.trial_timeout;
}

bool outlier_detector::out_of_service(replica_index replica) const
{
    return replica < histories_.size() && histories_[replica].ejected;
}

double outlier_detector::error_rate(replica_index replica, time_point now) const
{
    if (replica >= histories_.size()) {
        return 0;
    }
    history entry = histories_[replica];
    decay(entry, now);
    const double total = entry.successes + entry.failures;
    return total > 0 ? entry.failures / total : 0;
}

outlier_detector::history& outlier_detector::at(replica_index replica)
{
    if (replica >= histories_.size()) {
        histories_.resize(replica + 1);
    }
    return histories_[replica];
}

void outlier_detector::decay(history& entry, time_point now) const
{
    const duration elapsed = now - entry.decayed_at;
    if (elapsed <= duration{0}) {
        return;
    }
    const double halvings =
        std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(settings_.window);
    const double decay_factor = std::exp2(-halvings);
    entry.successes *= decay_factor;
    entry.failures *= decay_factor;
    entry.decayed_at = now;
}

bool outlier_detector::eject_if_failing(history& entry, pool_ejections pool_counts, time_point now)
{
    if (entry.ejected) {
        return false;
    }
    const double total = entry.successes + entry.failures;
    // Decay leaves counts slightly below whole numbers, hence the tolerance of 0.5.
    const bool enough = total > settings_.minimum_requests - 0.5;
    const bool failing = entry.consecutive >= settings_.consecutive_failures ||
                         (enough && entry.failures > settings_.error_rate * total);
    const auto share = static_cast<std::uint32_t>(settings_.maximum_ejected * pool_counts.size);
    const std::uint32_t allowed = pool_counts.size >= 2 ? std::max(1U, share) : 0;
    if (!failing || pool_counts.ejected >= allowed) {
        return false;
    }
    if (now > entry.returned_at + ejection_reset_factor * settings_.base_ejection) {
        entry.ejections = 0;
    }
    eject(entry, now);
    return true;
}

void outlier_detector::eject(history& entry, time_point now) const
{
    const std::uint32_t doublings = std::min(entry.ejections, max_doublings);
    const duration length = settings_.base_ejection * (1LL << doublings);
    ++entry.ejections;
    entry.ejected = true;
    entry.ejected_until = now + std::min(length, settings_.longest_ejection);
    entry.trials_passed = 0;
    entry.trial_started = time_point{};
}

} // namespace wagtailhitch
