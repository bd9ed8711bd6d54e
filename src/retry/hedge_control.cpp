#include "retry/hedge_control.hpp"

namespace wagtailhitch {

hedge_control::hedge_control(hedging_settings settings) : settings_{settings}
{
    settings_.kind.budget_share = settings_.percent / 100;
}

hedge_policy& hedge_control::policy_of(const hedged_kind& kind)
{
    if (kinds_.size() >= max_kinds && !kinds_.contains(kind)) {
        kinds_.clear();
    }
    return kinds_.try_emplace(kind, settings_.kind).first->second;
}

const hedge_policy* hedge_control::find(const hedged_kind& kind) const
{
    const auto it = kinds_.find(kind);
    return it == kinds_.end() ? nullptr : &it->second;
}

void hedge_control::count_request(const hedged_kind& kind)
{
    if (enabled()) {
        policy_of(kind).count_request();
    }
}

void hedge_control::record_first_token(const hedged_kind& kind, duration elapsed)
{
    if (enabled()) {
        policy_of(kind).record_first_token(elapsed);
    }
}

void hedge_control::record_unanswered(const hedged_kind& kind, duration elapsed)
{
    if (enabled()) {
        policy_of(kind).record_unanswered(elapsed);
    }
}

std::optional<time_point> hedge_control::hedge_time(const hedged_kind& kind,
                                                    const hedge_context& context,
                                                    time_point sent_at) const
{
    const hedge_policy* policy = find(kind);
    return policy == nullptr ? std::nullopt : policy->hedge_time(context, sent_at);
}

duration hedge_control::expected_remaining(const hedged_kind& kind, duration elapsed) const
{
    const hedge_policy* policy = find(kind);
    return policy == nullptr ? duration{0} : policy->expected_remaining(elapsed);
}

bool hedge_control::budget_left(const hedged_kind& kind) const
{
    const hedge_policy* policy = find(kind);
    return policy != nullptr && policy->budget_left();
}

void hedge_control::spend(const hedged_kind& kind)
{
    policy_of(kind).try_consume();
}

} // namespace wagtailhitch
