#include "retry/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailhitch {

namespace {

constexpr std::uint32_t most_doublings = 20;

// Failures that another attempt may avoid. Refusals of the request itself are not among them.
bool retryable(error_code code)
{
    switch (code) {
    case error_code::no_upstream:
    case error_code::upstream_connect_failed:
    case error_code::upstream_refused:
    case error_code::upstream_failed:
    case error_code::upstream_timeout:
    case error_code::stream_broken:
        return true;
    default:
        return false;
    }
}

} // namespace

retry_budget::retry_budget(const retry_settings& settings, time_point now)
    : share_{settings.budget_share}, capacity_{settings.budget_capacity}, counted_at_{now},
      memory_{settings.budget_memory}, floor_{settings.budget_floor,
                                              std::max(1.0, settings.budget_floor), now}
{
}

void retry_budget::count_request(time_point now)
{
    earned_ = std::min(capacity_, earned(now) + share_);
    counted_at_ = now;
}

bool retry_budget::available(time_point now) const
{
    return earned(now) >= 1 || floor_.level(now) >= 1;
}

void retry_budget::spend(time_point now)
{
    if (earned(now) >= 1) {
        earned_ = earned(now) - 1;
        counted_at_ = now;
        return;
    }
    floor_.take(1, now);
}

double retry_budget::earned(time_point now) const
{
    const std::chrono::duration<double> age = now - counted_at_;
    return earned_ * std::exp(-std::max(0.0, age / std::chrono::duration<double>(memory_)));
}

retry_policy::retry_policy(retry_settings settings) : settings_{settings} {}

retry_decision retry_policy::decide(const failed_attempt& failure, const retry_budget& budget,
                                    time_point now, std::mt19937_64& generator) const
{
    const auto stop = [](retry_refusal why) { return retry_decision{retry_action::stop, {}, why}; };
    const retry_refusal refusal = refuse(failure);
    if (refusal != retry_refusal::none) {
        return stop(refusal);
    }
    const bool resumes = failure.resumable && !failure.resume_failed;
    if (!resumes && failure.tokens_sent && !failure.repeatable_answer) {
        return stop(retry_refusal::already_sent);
    }
    if (!budget.available(now)) {
        return stop(retry_refusal::budget_used);
    }
    // The generation goes on at the upstream, so that waiting only delays the resumed stream.
    const duration wait = resumes ? duration{0} : back_off(failure.retries, generator);
    if (now + wait + failure.expected_time > failure.deadline) {
        return stop(retry_refusal::deadline);
    }
    return {resumes ? retry_action::resume : retry_action::restart, wait, retry_refusal::none};
}

retry_refusal retry_policy::refuse(const failed_attempt& failure) const
{
    if (!failure.idempotent) {
        const bool unsent = failure.run == run_state::not_run && failure.at == step::dispatch &&
                            (failure.code == error_code::upstream_connect_failed ||
                             failure.code == error_code::upstream_refused);
        if (!settings_.restart_unsent || !unsent || failure.tokens_sent) {
            return retry_refusal::may_have_run;
        }
    }
    const bool at_upstream =
        failure.at == step::dispatch || failure.at == step::stream || failure.at == step::route;
    if (!at_upstream || !retryable(failure.code)) {
        return retry_refusal::not_retryable;
    }
    if (failure.retries >= settings_.maximum_retries) {
        return retry_refusal::attempts_used;
    }
    return retry_refusal::none;
}

duration retry_policy::back_off(std::uint32_t retries, std::mt19937_64& generator) const
{
    const duration most = settings_.first_back_off * (1LL << std::min(retries, most_doublings));
    const duration limit = std::min(most, settings_.longest_back_off);
    std::uniform_int_distribution<duration::rep> jitter{0, limit.count()};
    return duration{jitter(generator)};
}

} // namespace wagtailhitch
