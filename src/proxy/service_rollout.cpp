#include "proxy/service_rollout.hpp"

#include <algorithm>
#include <utility>

namespace wagtailhitch {

namespace {

constexpr double two_to_64 = 18446744073709551616.0;
/// Answers are not rated for quality on this path, so ratings do not contribute to the evidence.
constexpr double assumed_quality = 1;

} // namespace

bool is_same_order(const rollout_order& a, const rollout_order& b)
{
    const bool numbers_match = a.number == b.number || a.number == 0 || b.number == 0;
    return numbers_match && a.service == b.service && a.target == b.target && a.period == b.period;
}

service_rollout::service_rollout(rollout_order order, time_point started_at,
                                 service_rollout_settings settings)
    : order_{std::move(order)}, started_at_{started_at}, settings_{settings}
{
}

void service_rollout::note_age(duration age, time_point now)
{
    started_at_ = std::min(started_at_, now - age);
}

// Numbers of a later epoch of the store may be lower, as offsets are assigned again.
void service_rollout::note_order_number(revision number, log_epoch epoch)
{
    order_.number = epoch > order_.epoch ? number : std::max(order_.number, number);
    order_.epoch = std::max(order_.epoch, epoch);
}

void service_rollout::note_published(rollout_state state)
{
    if (ended()) {
        return;
    }
    published_ = state;
    if (state != rollout_state::running && state_ != state) {
        state_ = state;
        reason_ = "The store holds this state.";
    }
}

void service_rollout::note_decided(rollout_state state, const std::string& reason)
{
    const bool halts = state == rollout_state::rolled_back && state_ != state;
    const bool ends = state_ == rollout_state::running && state != state_;
    if (!ended() && (halts || ends)) {
        state_ = state;
        reason_ = reason;
    }
}

bool service_rollout::all_traffic_shifted(time_point now) const
{
    return state_ == rollout_state::running && trial_passed_ && (shifted_ || !in_doubt_) &&
           age(now) >= std::chrono::duration_cast<duration>(order_.period * settings_.shift_at);
}

bool service_rollout::uses_new_version(std::uint64_t session_hash, bool connected,
                                       time_point now) const
{
    switch (state_) {
    case rollout_state::complete:
        return true;
    case rollout_state::rolled_back:
        return false;
    case rollout_state::running:
        break;
    }
    if (!connected || !published_) {
        return false;
    }
    return all_traffic_shifted(now) || in_trial_share(session_hash, settings_);
}

bool service_rollout::in_trial_share(std::uint64_t session_hash,
                                     const service_rollout_settings& settings)
{
    return static_cast<double>(session_hash) / two_to_64 < settings.trial_share;
}

evidence_verdict service_rollout::evaluate(const version_counts& candidate,
                                           const version_counts& baseline)
{
    if (state_ != rollout_state::running || candidate.answers == 0) {
        return {};
    }
    auto verdict = evaluate_evidence(candidate, baseline, assumed_quality, settings_.evidence);
    if (verdict.halt) {
        state_ = rollout_state::rolled_back;
        reason_ = verdict.reason;
    }
    return verdict;
}

rollout_state service_rollout::due(std::uint64_t candidate_answers, std::uint32_t old_in_flight,
                                   time_point now)
{
    if (state_ != rollout_state::running) {
        return state_;
    }
    trial_passed_ = trial_passed_ || candidate_answers >= settings_.minimum_answers;
    const auto at = [this](double part) {
        return std::chrono::duration_cast<duration>(order_.period * part);
    };
    shifted_ = shifted_ || all_traffic_shifted(now);
    if (!shifted_ && in_doubt_ && age(now) >= at(settings_.forced_complete_at)) {
        state_ = rollout_state::rolled_back;
        reason_ = "The trial left the version in doubt until the end of the roll-out.";
        return state_;
    }
    const bool drained = old_in_flight == 0 && age(now) >= at(settings_.complete_at);
    if (trial_passed_ && all_traffic_shifted(now) &&
        (drained || age(now) >= at(settings_.forced_complete_at))) {
        state_ = rollout_state::complete;
        reason_ = "The trial and the shift of all traffic showed no fault.";
    }
    return state_;
}

} // namespace wagtailhitch
