#include "admission/demand_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <span>
#include <utility>

namespace wagtailhitch {

namespace {

/// Weight of a new answer in the mean times, and the multiple of the mean at which one is cut off,
/// so that a rare long answer does not make its kind look expensive.
constexpr double answer_weight = 1.0 / 16;
constexpr double longest_answer = 4;
/// A kind with fewer recent requests than this has not been seen for longer than the time constant.
constexpr double present = 0.3;
/// A kind is limited at one level of the division if its part is smaller by more than this than the
/// one of its level.
constexpr double clearly_less = 0.95;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double decay(duration since, duration constant)
{
    return std::exp(-std::max(0.0, seconds(since)) / seconds(constant));
}

void average(double& mean, double value, double weight)
{
    mean = mean <= 0 ? value : mean + (std::min(value, longest_answer * mean) - mean) * weight;
}

struct claim {
    double demand{0};
    double weight{0};
    double granted{0};
};

/// Weighted max-min fairness: raises all claims in proportion to their weights until each is
/// satisfied or the capacity is used up. Returns the capacity that is left.
double fill(std::span<claim> claims, double capacity)
{
    std::vector<claim*> open;
    for (claim& it : claims) {
        open.push_back(&it);
    }
    std::ranges::sort(open, {}, [](const claim* it) { return it->demand / it->weight; });
    double weights = 0;
    for (const claim* it : open) {
        weights += it->weight;
    }
    for (claim* it : open) {
        it->granted = std::min(it->demand, capacity * it->weight / weights);
        capacity -= it->granted;
        weights -= it->weight;
    }
    return std::max(0.0, capacity);
}

} // namespace

struct demand_ledger::kind_demand {
    std::size_t index{0};
    const request_kind* kind{nullptr};
    double rate{0};   ///< requests per second
    double slots{0};  ///< that serve all of them
    double weight{0}; ///< usual demand in slots
    double granted{0};
    double team_fraction{1};
    double rank_fraction{1};
};

void demand_ledger::decayed_count::add(duration constant, time_point now)
{
    value = read(constant, now) + 1;
    at = now;
}

double demand_ledger::decayed_count::read(duration constant, time_point now) const
{
    return value * decay(now - at, constant);
}

std::size_t demand_ledger::find(const request_kind& kind, time_point now)
{
    const auto it = std::ranges::find(kinds_, kind, &kind_state::kind);
    if (it != kinds_.end()) {
        return static_cast<std::size_t>(it - kinds_.begin());
    }
    kind_state added;
    added.kind = kind;
    added.first_seen = now;
    kinds_.push_back(std::move(added));
    return kinds_.size() - 1;
}

void demand_ledger::count(std::size_t kind, time_point now)
{
    kinds_[kind].recent.add(settings_.recent, now);
    kinds_[kind].usual.add(settings_.usual, now);
}

void demand_ledger::note_expected(std::size_t kind, const expected_times& times, time_point now)
{
    constexpr double least_weight = 0.1;
    kind_state& it = kinds_[kind];
    average(it.first_token_seconds, seconds(times.first_token), least_weight);
    average(it.target_seconds, seconds(times.target), least_weight);
    service_wait& waits = waits_[it.kind.service];
    const auto move = [&](double& mean, duration constant) {
        const double weight = std::max(1 - decay(now - waits.at, constant),
                                       least_weight * seconds(settings_.wait) / seconds(constant));
        mean += (seconds(times.wait) - mean) * weight;
    };
    move(waits.recent, settings_.wait);
    move(waits.background, settings_.background);
    waits.at = now;
}

void demand_ledger::note_answer(std::size_t kind, const measured_answer& answer)
{
    kind_state& it = kinds_[kind];
    average(it.slot_seconds, seconds(answer.total), answer_weight);
    average(it.after_first_seconds, seconds(answer.after_first_token), answer_weight);
    if (answer.output_tokens > 0) {
        average(it.output_tokens, answer.output_tokens, answer_weight);
    }
}

double demand_ledger::slot_seconds(std::size_t kind) const
{
    if (kinds_[kind].slot_seconds > 0) {
        return kinds_[kind].slot_seconds;
    }
    double sum = 0;
    int known = 0;
    for (const kind_state& it : kinds_) {
        if (it.kind.service == kinds_[kind].kind.service && it.slot_seconds > 0) {
            sum += it.slot_seconds;
            ++known;
        }
    }
    return known == 0 ? 0 : sum / known;
}

double demand_ledger::mean_slot_seconds(std::size_t kind, time_point now) const
{
    double slots = 0;
    double rate = 0;
    for (const kind_demand& it : demands(kinds_[kind].kind.service, now)) {
        slots += it.slots;
        rate += it.rate;
    }
    return rate <= 0 ? slot_seconds(kind) : slots / rate;
}

duration demand_ledger::after_first_token(std::size_t kind, std::uint32_t output_tokens) const
{
    const kind_state& it = kinds_[kind];
    const bool scaled = output_tokens > 0 && it.output_tokens > 0;
    const double length = scaled ? output_tokens / it.output_tokens : 1;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(it.after_first_seconds * length));
}

double demand_ledger::pressure(std::size_t kind, time_point now) const
{
    const kind_state& it = kinds_[kind];
    if (it.recent.read(settings_.recent, now) < present || it.target_seconds <= 0) {
        return 0;
    }
    return (it.first_token_seconds + present_wait(it.kind.service, now)) / it.target_seconds;
}

double demand_ledger::pressure_on_others(std::size_t kind, time_point now) const
{
    double out = 0;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        if (i != kind && kinds_[i].kind.service == kinds_[kind].kind.service) {
            out = std::max(out, pressure(i, now));
        }
    }
    return out;
}

duration demand_ledger::until_pressure(std::size_t kind, double level, time_point now) const
{
    const kind_state& it = kinds_[kind];
    const auto found = waits_.find(it.kind.service);
    if (found == waits_.end()) {
        return {};
    }
    const service_wait& waits = found->second;
    const double lag = seconds(settings_.background - settings_.wait);
    const double fall = (waits.background - waits.recent) / lag;
    const double excess =
        it.first_token_seconds + present_wait(it.kind.service, now) - level * it.target_seconds;
    if (fall <= 0 || excess <= 0) {
        return {};
    }
    constexpr double longest = 3600;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(longest, excess / fall)));
}

double demand_ledger::recent_rate(const kind_state& state, time_point now) const
{
    return state.recent.read(settings_.recent, now) / seconds(settings_.recent);
}

double demand_ledger::usual_rate(const kind_state& state, time_point now) const
{
    // Corrects for the part of the window before the kind was first seen.
    const double seen = 1 - decay(now - state.first_seen, settings_.usual);
    const double window = std::max(seen * seconds(settings_.usual), seconds(settings_.recent));
    return state.usual.read(settings_.usual, now) / window;
}

double demand_ledger::present_wait(const std::string& service, time_point now) const
{
    const auto it = waits_.find(service);
    if (it == waits_.end()) {
        return 0;
    }
    const duration outdated = now - it->second.at - settings_.wait_validity;
    return it->second.recent * decay(outdated, settings_.wait);
}

std::vector<demand_ledger::kind_demand> demand_ledger::demands(const std::string& service,
                                                               time_point now) const
{
    std::vector<kind_demand> out;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        const kind_state& it = kinds_[i];
        if (it.kind.service != service) {
            continue;
        }
        const double per_request = slot_seconds(i);
        kind_demand added;
        added.index = i;
        added.kind = &it.kind;
        added.rate = recent_rate(it, now);
        added.slots = added.rate * per_request;
        added.weight = std::max(1e-6, usual_rate(it, now) * per_request);
        out.push_back(added);
    }
    return out;
}

void demand_ledger::divide(std::vector<kind_demand>& demands, double slots, double least_fraction)
{
    using members = std::vector<kind_demand*>;
    std::map<std::uint32_t, std::map<team_id, members>> ranks;
    for (kind_demand& it : demands) {
        it.granted = least_fraction * it.slots;
        slots -= it.granted;
        ranks[it.kind->priority][it.kind->team].push_back(&it);
    }
    slots = std::max(0.0, slots);
    const auto sum_up = [least_fraction](const members& of) {
        claim out;
        for (const kind_demand* it : of) {
            out.demand += it->slots * (1 - least_fraction);
            out.weight += it->weight;
        }
        return out;
    };
    for (auto& [priority, teams] : ranks) {
        std::vector<claim> team_claims;
        claim rank;
        for (const auto& [team, kinds] : teams) {
            team_claims.push_back(sum_up(kinds));
            rank.demand += team_claims.back().demand;
        }
        const double left = fill(team_claims, slots);
        const auto part = [](double granted, double demand) {
            return demand <= 0 ? 1 : granted / demand;
        };
        const double rank_fraction = part(slots - left, rank.demand);
        slots = left;
        std::size_t at = 0;
        for (auto& [team, kinds] : teams) {
            const claim& whole = team_claims[at++];
            std::vector<claim> kind_claims;
            for (kind_demand* it : kinds) {
                kind_claims.push_back(sum_up({it}));
            }
            fill(kind_claims, whole.granted);
            for (std::size_t i = 0; i < kinds.size(); ++i) {
                kinds[i]->granted += kind_claims[i].granted;
                kinds[i]->team_fraction = part(whole.granted, whole.demand);
                kinds[i]->rank_fraction = rank_fraction;
            }
        }
    }
}

served_share demand_ledger::share(std::size_t kind, double slots, time_point now) const
{
    auto all = demands(kinds_[kind].kind.service, now);
    double wanted = 0;
    double requests = 0;
    for (const kind_demand& it : all) {
        wanted += it.slots;
        requests += it.rate;
    }
    const auto own = std::ranges::find(all, kind, &kind_demand::index);
    if (wanted <= slots || own->slots <= 0) {
        return {1, own->rate, share_limit::none};
    }
    const double by_work = std::max(0.0, slots) / wanted;
    divide(all, slots, settings_.least_share * by_work);
    // The served share counts requests. It exceeds that of the work if cheap requests are
    // preferred, and the least share with it, as far as the capacity allows.
    double served = 0;
    for (const kind_demand& it : all) {
        served += it.slots <= 0 ? it.rate : it.rate * it.granted / it.slots;
    }
    const double by_requests = requests <= 0 ? by_work : served / requests;
    divide(all, slots, std::min(by_work, settings_.least_share * std::max(by_work, by_requests)));
    served_share out;
    out.fraction = std::min(1.0, own->granted / own->slots);
    out.rate = own->rate * out.fraction;
    if (out.fraction >= 1) {
        return out;
    }
    const bool first_rank = std::ranges::none_of(all, [&](const kind_demand& it) {
        return it.kind->priority < own->kind->priority && it.slots > 0;
    });
    const double own_part = own->granted / own->slots;
    if (own_part < clearly_less * own->team_fraction) {
        out.limit = share_limit::route;
    }
    else if (own->team_fraction < clearly_less * own->rank_fraction) {
        out.limit = share_limit::team;
    }
    else {
        out.limit = first_rank ? share_limit::capacity : share_limit::priority;
    }
    return out;
}

} // namespace wagtailhitch
