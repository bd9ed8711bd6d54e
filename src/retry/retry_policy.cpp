#include "retry/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailhitch {

namespace {

constexpr std::uint32_t max_doublings = 20;

// Returns true for failures that another attempt may avoid, which excludes rejections of the
// request itself.
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
    : window_{settings.budget_window}, share_{settings.budget_share},
      capacity_{settings.budget_capacity}, updated_at_{now},
      time_constant_{settings.budget_time_constant},
      minimum_rate_{settings.min_retries_per_second, std::max(1.0, settings.min_retries_per_second),
                    now}
{
}

std::int64_t retry_budget::window_slot_number(time_point now) const
{
    return now.time_since_epoch() / (window_ / static_cast<int>(slots_per_window));
}

retry_budget::window_slot& retry_budget::window_slot_at(time_point now)
{
    const std::int64_t number = window_slot_number(now);
    window_slot& found = window_slots_[static_cast<std::size_t>(number) % slots_per_window];
    if (found.number != number) {
        found = {number, 0, 0};
    }
    return found;
}

double retry_budget::remaining_in_window(time_point now) const
{
    const std::int64_t oldest =
        window_slot_number(now) - static_cast<std::int64_t>(slots_per_window);
    double requests = 0;
    double retries = 0;
    for (const window_slot& it : window_slots_) {
        if (it.number > oldest) {
            requests += it.requests;
            retries += it.retries;
        }
    }
    return share_ * requests + capacity_ - retries;
}

void retry_budget::count_request(time_point now)
{
    if (window_ > duration{0}) {
        ++window_slot_at(now).requests;
        return;
    }
    saved_retries_ = std::min(capacity_, saved_retries(now) + share_);
    updated_at_ = now;
}

bool retry_budget::available(time_point now) const
{
    if (window_ > duration{0}) {
        return remaining_in_window(now) >= 1;
    }
    return saved_retries(now) >= 1 || minimum_rate_.level(now) >= 1;
}

void retry_budget::spend(time_point now)
{
    if (window_ > duration{0}) {
        ++window_slot_at(now).retries;
        return;
    }
    if (saved_retries(now) >= 1) {
        saved_retries_ = saved_retries(now) - 1;
        updated_at_ = now;
        return;
    }
    minimum_rate_.take(1, now);
}

double retry_budget::saved_retries(time_point now) const
{
    const std::chrono::duration<double> age = now - updated_at_;
    return saved_retries_ *
           std::exp(-std::max(0.0, age / std::chrono::duration<double>(time_constant_)));
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
    if (!failure.unsent && !budget.available(now)) {
        return stop(retry_refusal::budget_used);
    }
    // The upstream continues the generation, so a backoff would only delay the resumed stream.
    const duration wait = resumes ? duration{0} : backoff_delay(failure.retries, generator);
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
    if (failure.retries >= settings_.max_retries) {
        return retry_refusal::attempts_used;
    }
    return retry_refusal::none;
}

duration retry_policy::backoff_delay(std::uint32_t retries, std::mt19937_64& generator) const
{
    const duration exponential =
        settings_.initial_backoff * (1LL << std::min(retries, max_doublings));
    const duration limit = std::min(exponential, settings_.max_backoff);
    std::uniform_int_distribution<duration::rep> jitter{0, limit.count()};
    return duration{jitter(generator)};
}

} // namespace wagtailhitch
