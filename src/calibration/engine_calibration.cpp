#include "calibration/engine_calibration.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailhitch {

namespace {

constexpr int fit_rounds = 3;
/// Answers that a model must be based on to serve as a prior, of the same engine or a similar one.
constexpr double answers_for_prior = 6;
/// Number of answers below which the typical deviation is not estimated from them.
constexpr std::size_t answers_for_median = 5;
/// Shorter times are measured as this, so that relative errors stay finite.
constexpr double shortest_seconds = 1e-4;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

first_token_model scaled(const first_token_model& model, double by)
{
    return {model.base * by, model.per_token * by, model.load_growth};
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

std::uint64_t engine_calibration::id_of(const engine_key& engine)
{
    return hash64(engine.service + '\n' + engine.software + '\n' + std::to_string(engine.model));
}

engine_calibration::engine_state& engine_calibration::state_of(const engine_key& engine,
                                                               time_point now)
{
    const auto [it, added] = engines_.try_emplace(engine);
    if (added) {
        it->second.id = id_of(engine);
        it->second.fitted = prior_of(engine);
    }
    it->second.used_at = now;
    return it->second;
}

// Another software version of the same model is the best guide, then another model of the service.
first_token_model engine_calibration::prior_of(const engine_key& engine) const
{
    const engine_state* same_model = nullptr;
    const engine_state* nearest = nullptr;
    double ratio = 1;
    for (const auto& [key, state] : engines_) {
        if (key.service != engine.service || key == engine || !state.anchor) {
            continue;
        }
        if (key.model == engine.model &&
            (same_model == nullptr || state.weight > same_model->weight)) {
            same_model = &state;
        }
        const double steps = static_cast<double>(engine.model) - static_cast<double>(key.model);
        const double distance = std::pow(settings_.model_ratio, steps);
        if (nearest == nullptr || std::abs(std::log(distance)) < std::abs(std::log(ratio))) {
            nearest = &state;
            ratio = distance;
        }
    }
    if (same_model != nullptr) {
        return *same_model->anchor;
    }
    if (nearest != nullptr) {
        return scaled(*nearest->anchor, ratio);
    }
    return scaled(settings_.prior,
                  std::pow(settings_.model_ratio, static_cast<double>(engine.model)));
}

void engine_calibration::observe(const engine_key& engine, const first_token_inputs& inputs,
                                 duration first_token, time_point now)
{
    engine_state& state = state_of(engine, now);
    state.answers.push_back({inputs, std::max(shortest_seconds, seconds(first_token)), now});
    if (state.answers.size() > settings_.answers_kept) {
        state.answers.pop_front();
    }
    state.changed = true;
    forget_before_change(state);
}

void engine_calibration::forget_before_change(engine_state& state) const
{
    const std::size_t n = settings_.change_run;
    if (!state.anchor || state.answers.size() <= n) {
        return;
    }
    const auto first = state.answers.end() - static_cast<std::ptrdiff_t>(n);
    const auto ratio = [&state](const answer& it) {
        return it.seconds / state.fitted.seconds(it.inputs);
    };
    const bool slower = std::all_of(first, state.answers.end(), [&](const answer& it) {
        return ratio(it) > settings_.change_factor;
    });
    const bool faster = std::all_of(first, state.answers.end(), [&](const answer& it) {
        return ratio(it) < 1 / settings_.change_factor;
    });
    if (slower || faster) {
        state.answers.erase(state.answers.begin(), first);
    }
}

void engine_calibration::take(const std::string& peer, calibration_source source,
                              const std::vector<reported_calibration>& reported, time_point now)
{
    peer_report_state& state = peers_[peer];
    state = {source, now, {}};
    for (const auto& item : reported) {
        first_token_moments moments;
        if (moments.assign(item.moments)) {
            state.moments[item.engine].add(moments);
        }
    }
}

first_token_moments engine_calibration::own_moments(const engine_state& state, time_point now) const
{
    std::vector<double> ratios;
    for (const auto& it : state.answers) {
        ratios.push_back(it.seconds / state.fitted.seconds(it.inputs));
    }
    const double typical = ratios.size() < answers_for_median ? 1 : median(ratios);
    first_token_moments out;
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        const answer& it = state.answers[i];
        const double deviation = std::max(ratios[i] / typical, typical / ratios[i]);
        const double trust = std::min(1.0, std::pow(settings_.outlier_factor / deviation, 2));
        const double age = std::exp(-seconds(now - it.at) / seconds(settings_.memory));
        out.add(it.inputs, it.seconds, state.fitted.seconds(it.inputs) * typical, trust * age);
    }
    return out;
}

first_token_moments engine_calibration::peer_moments(std::uint64_t id, bool members_only,
                                                     time_point now) const
{
    first_token_moments out;
    for (const auto& [name, peer] : peers_) {
        const bool excluded = members_only && peer.source != calibration_source::member;
        const auto it = peer.moments.find(id);
        if (!excluded && it != peer.moments.end() && now - peer.at < settings_.report_lifetime) {
            out.add(it->second);
        }
    }
    return out;
}

// Each round weighs the answers by the model of the round before. An engine without recent answers
// keeps what was learned, since that is its prior.
void engine_calibration::refit(const engine_key& engine, engine_state& state, time_point now)
{
    const first_token_model prior = state.anchor ? *state.anchor : prior_of(engine);
    const first_token_moments peers = peer_moments(state.id, false, now);
    state.fitted = prior;
    for (int round = 0; round < fit_rounds; ++round) {
        first_token_moments all = own_moments(state, now);
        all.add(peers);
        state.weight = all.answers();
        state.fitted = fit_first_token(all, prior, settings_.prior_weight);
    }
    if (state.weight >= answers_for_prior) {
        state.anchor = state.fitted;
    }
    state.changed = false;
    state.fitted_at = now;
}

std::vector<reported_calibration> engine_calibration::report(bool totals, time_point now)
{
    std::vector<reported_calibration> out;
    for (auto& [key, state] : engines_) {
        first_token_moments moments = own_moments(state, now);
        if (totals) {
            moments.add(peer_moments(state.id, true, now));
        }
        if (moments.answers() > 0) {
            out.push_back({state.id, moments.values()});
        }
    }
    return out;
}

first_token_model engine_calibration::model(const engine_key& engine, time_point now)
{
    engine_state& state = state_of(engine, now);
    const bool settled = state.answers.size() >= settings_.answers_kept;
    const bool due = now - state.fitted_at >= settings_.refresh_interval;
    if (due || (state.changed && !settled)) {
        refit(engine, state, now);
    }
    return state.fitted;
}

double engine_calibration::answers(const engine_key& engine) const
{
    const auto it = engines_.find(engine);
    return it == engines_.end() ? 0 : it->second.weight;
}

std::vector<engine_key> engine_calibration::engines() const
{
    std::vector<engine_key> out;
    for (const auto& [key, state] : engines_) {
        out.push_back(key);
    }
    return out;
}

void engine_calibration::sweep(time_point now)
{
    std::erase_if(peers_, [&](const auto& item) {
        return now - item.second.at >= settings_.report_lifetime;
    });
    std::erase_if(engines_, [&](const auto& item) {
        return now - item.second.used_at >= settings_.engine_lifetime;
    });
}

} // namespace wagtailhitch
