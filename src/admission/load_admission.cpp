#include "admission/load_admission.hpp"

#include <algorithm>
#include <array>

namespace wagtailhitch {

namespace {

constexpr double token_weight = 1.0 / 64;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    constexpr double longest = 1e6;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::clamp(value, 0.0, longest)));
}

load_refusal reason_of(share_limit limit)
{
    switch (limit) {
    case share_limit::none:
    case share_limit::capacity:
        return load_refusal::capacity;
    case share_limit::priority:
        return load_refusal::priority;
    case share_limit::team:
        return load_refusal::team;
    case share_limit::route:
        return load_refusal::route;
    }
    return load_refusal::capacity;
}

} // namespace

load_admission::load_admission(load_admission_settings settings, std::uint64_t seed)
    : settings_{settings}, generator_{seed}, ledger_{settings.ledger}, returns_{settings.returns}
{
}

std::size_t load_admission::kind_of(const load_request& request, time_point now)
{
    double& mean = mean_tokens_[request.route];
    const bool large = mean > 0 && request.tokens > settings_.large_factor * mean;
    mean = mean <= 0 ? request.tokens : mean + (request.tokens - mean) * token_weight;
    const std::size_t kind =
        ledger_.find({request.service, request.priority, request.team, request.route, large}, now);
    credits_.resize(std::max(credits_.size(), kind + 1));
    return kind;
}

duration load_admission::wait_for_slot(const load_request& request, std::size_t kind,
                                       time_point now) const
{
    const double ahead = request.load + 1 - request.slots;
    const double each = ledger_.mean_slot_seconds(kind, now);
    if (ahead <= 0 || each <= 0) {
        return request.assumed_wait;
    }
    return from_seconds(ahead * each / std::max(1.0, request.slots));
}

// The share by the requests in flight lets a VM that gets more than its part of the traffic use
// slots that the others leave free. It is not used below an equal part, or a VM that refuses would
// believe that even less is due to it.
double load_admission::own_slots(const service_occupancy& usage, std::size_t kind,
                                 time_point now) const
{
    const double equal = 1 / std::max(1.0, usage.vms);
    const double in_flight = usage.load > 0 ? std::min(1.0, usage.own / usage.load) : 0;
    // Beyond the comfortable part of the targets, less is admitted than is served, so that queues
    // become shorter.
    const double longest =
        std::max(ledger_.pressure_on_others(kind, now), ledger_.pressure(kind, now));
    const double draining = 1 + std::max(0.0, longest - settings_.comfortable);
    return usage.slots * std::max(equal, in_flight) / draining;
}

bool load_admission::has_share(const load_request& request, const load_verdict& verdict,
                               bool early) const
{
    if (early) {
        return false;
    }
    if (verdict.share >= 1) {
        return true;
    }
    const double credit = credits_[verdict.kind].credit;
    if (verdict.returned == return_state::on_time) {
        return credit > -settings_.credit_bound;
    }
    return credit >= (verdict.first_token <= request.target ? 1 : settings_.late_credit);
}

bool load_admission::harms_nobody(const load_request& request, const load_verdict& verdict,
                                  time_point now) const
{
    return verdict.first_token <= request.target &&
           ledger_.pressure_on_others(verdict.kind, now) <= settings_.comfortable;
}

load_verdict load_admission::decide(const load_request& request,
                                    const std::function<service_occupancy()>& occupancy,
                                    time_point now)
{
    load_verdict out;
    out.kind = kind_of(request, now);
    out.returned = returns_.state(request.caller, now);
    out.first_token = request.first_token + wait_for_slot(request, out.kind, now);
    out.end = out.first_token + ledger_.after_first_token(out.kind, request.output_tokens);
    const bool early = out.returned == return_state::early;
    const served_share unlimited{};
    // Repeats of a caller that was asked to wait are no demand: they would raise its kind's share.
    if (!early && !request.repeated) {
        ledger_.count(out.kind, now);
    }
    ledger_.note_expected(
        out.kind, {request.first_token, out.first_token - request.first_token, request.target},
        now);
    if (out.first_token > request.time_left) {
        refuse(request, out, load_refusal::deadline, unlimited, now);
        return out;
    }
    const bool waits = request.load >= request.slots;
    if ((!waits && out.first_token <= request.target) || request.repeated) {
        admit(request, out, 0);
        return out;
    }
    if (out.end > request.time_left) {
        refuse(request, out, load_refusal::deadline, unlimited, now);
        return out;
    }
    out.usage = occupancy();
    const served_share share = ledger_.share(out.kind, own_slots(out.usage, out.kind, now), now);
    out.share = share.fraction;
    double& credit = credits_[out.kind].credit;
    if (!early) {
        credit = std::min(credit + out.share, settings_.credit_bound);
    }
    if (has_share(request, out, early) || harms_nobody(request, out, now)) {
        admit(request, out, 1);
        return out;
    }
    refuse(request, out, early ? load_refusal::early_return : reason_of(share.limit), share, now);
    return out;
}

void load_admission::admit(const load_request& request, load_verdict& verdict, double cost)
{
    double& credit = credits_[verdict.kind].credit;
    credit = std::max(credit - cost, -settings_.credit_bound);
    returns_.forget(request.caller);
}

// A falling pressure tells when it will be comfortable again. Otherwise, the queue at the replica
// has to end first.
duration load_admission::until_relieved(const load_request& request, const load_verdict& verdict,
                                        time_point now) const
{
    const duration queue = verdict.first_token - request.first_token;
    const duration course = ledger_.until_pressure(verdict.kind, settings_.comfortable, now);
    return std::max({settings_.least_retry_after, queue, course});
}

void load_admission::refuse(const load_request& request, load_verdict& verdict, load_refusal reason,
                            const served_share& share, time_point now)
{
    verdict.refused = reason;
    const duration longest = request.time_left / settings_.retry_after_divisor;
    if (verdict.returned == return_state::early) {
        verdict.retry_after = std::min(longest, returns_.until_due(request.caller, now));
        return;
    }
    duration wait = until_relieved(request, verdict, now);
    // Callers return one after the other, at the rate at which their kind is served.
    time_point& next = credits_[verdict.kind].next_return;
    if (share.rate > 0) {
        const time_point due = std::max(now + wait, next);
        next = std::min(due + from_seconds(1 / share.rate), now + longest);
        wait = due - now;
    }
    std::uniform_real_distribution<double> jitter{0.8, 1.2};
    wait = from_seconds(seconds(wait) * jitter(generator_));
    // Only shorter waits are left for the jitter of callers that have less time.
    std::uniform_real_distribution<double> capped{0.7, 1.0};
    verdict.retry_after =
        wait < longest ? wait : from_seconds(seconds(longest) * capped(generator_));
    returns_.ask(request.caller, now, now + verdict.retry_after);
}

void load_admission::note_answer(std::size_t kind, const measured_answer& answer)
{
    ledger_.note_answer(kind, answer);
}

} // namespace wagtailhitch
