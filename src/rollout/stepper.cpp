#include "rollout/stepper.hpp"

#include <algorithm>
#include <tuple>

namespace wagtailhitch {

namespace {

struct domain_load {
    std::uint32_t replicas{0};
    std::uint32_t holding{0}; ///< includes loading replicas if requested

    [[nodiscard]] std::uint32_t required_replicas(std::uint32_t share) const
    {
        return (replicas * share + full_share - 1) / full_share;
    }
};

std::map<failure_domain_id, domain_load>
count_by_domain(const std::vector<load_candidate>& candidates, bool count_loading)
{
    std::map<failure_domain_id, domain_load> out;
    for (const auto& c : candidates) {
        auto& domain = out[c.failure_domain];
        ++domain.replicas;
        domain.holding += c.holds || (count_loading && c.loading) ? 1 : 0;
    }
    return out;
}

} // namespace

rollout_stepper::rollout_stepper(vm_id self, evidence_settings settings, duration resend_interval)
    : self_{std::move(self)}, settings_{settings}, resend_interval_{resend_interval}
{
}

rollout_stepper::stage_entry& rollout_stepper::stage_entry_for(const rollout_inputs& inputs,
                                                               time_point now)
{
    auto [it, fresh] = entries_.try_emplace(inputs.version);
    auto& entry = it->second;
    // A new lease holder restarts the stage's time and rating count, because it cannot know how
    // long the step of the previous holder has been in force.
    if (fresh || entry.step != inputs.progress.step) {
        entry = {inputs.progress.step, now, inputs.fresh.ratings, std::nullopt};
    }
    return entry;
}

std::string rollout_stepper::blocking_reason(const rollout_inputs& inputs, time_point now) const
{
    const auto step = inputs.progress.step;
    const auto it = entries_.find(inputs.version);
    if (inputs.progress.halted) {
        return "The roll-out is halted: " + inputs.progress.halt_reason;
    }
    if (step >= inputs.spec.rollout.size()) {
        return "The last stage is in force; the version can be declared settled.";
    }
    if (!inputs.capacity_ready) {
        return "Too few replicas hold the version for the next stage.";
    }
    if (step == 0 || it == entries_.end()) {
        return {};
    }
    const auto& current_stage = inputs.spec.rollout[step - 1];
    if (now - it->second.entered_at < current_stage.minimum_time) {
        return "The stage's minimum time has not passed.";
    }
    if (inputs.fresh.ratings - it->second.ratings < current_stage.minimum_ratings) {
        return "The stage's minimum number of ratings has not arrived.";
    }
    if (ratings_missing(inputs.fresh, inputs.baseline)) {
        return "Fewer answers are rated than for the baseline.";
    }
    return {};
}

std::optional<rollout_record> rollout_stepper::decide(const rollout_inputs& inputs, time_point now)
{
    if (inputs.spec.state != version_state::rolling || inputs.progress.halted) {
        return std::nullopt;
    }
    auto& entry = stage_entry_for(inputs, now);
    if (entry.sent_at && now - *entry.sent_at < resend_interval_) {
        return std::nullopt;
    }
    const auto verdict =
        evaluate_evidence(inputs.fresh, inputs.baseline, inputs.declared_quality, settings_);
    if (verdict.halt) {
        entry.sent_at = now;
        return rollout_record{rollout_record_kind::halt,
                              inputs.version,
                              inputs.progress.step,
                              0,
                              verdict.reason,
                              self_};
    }
    if (!inputs.fencing || !blocking_reason(inputs, now).empty()) {
        return std::nullopt;
    }
    entry.sent_at = now;
    return rollout_record{rollout_record_kind::step,
                          inputs.version,
                          inputs.progress.step + 1,
                          *inputs.fencing,
                          {},
                          self_};
}

std::map<std::string, std::uint32_t> exposed_shares_by_class(std::vector<exposure_class> classes,
                                                             std::uint32_t share)
{
    std::ranges::sort(classes, {}, [](const exposure_class& c) {
        return std::tuple{static_cast<double>(c.rating_delay.count()) * (1 + c.error_cost),
                          c.error_cost, c.name};
    });
    std::map<std::string, std::uint32_t> out;
    double left = static_cast<double>(share) / full_share;
    for (const auto& c : classes) {
        const double taken = std::clamp(c.traffic > 0 ? left / c.traffic : 0, 0.0, 1.0);
        out[c.name] =
            share >= full_share ? full_share : static_cast<std::uint32_t>(taken * full_share);
        left -= taken * c.traffic;
    }
    return out;
}

bool has_coverage(const std::vector<load_candidate>& candidates, std::uint32_t share)
{
    const auto domains = count_by_domain(candidates, false);
    return !domains.empty() && std::ranges::all_of(domains, [share](const auto& entry) {
        return entry.second.holding >= entry.second.required_replicas(share);
    });
}

load_planner::load_planner(duration interval, std::size_t max_loading)
    : interval_{interval}, max_loading_{max_loading}
{
}

std::optional<upstream_id> load_planner::next(const std::vector<load_candidate>& candidates,
                                              std::uint32_t share, time_point now)
{
    const auto loading = std::ranges::count_if(
        candidates, [](const load_candidate& c) { return c.loading && !c.holds; });
    const bool too_soon = last_load_at_ && now - *last_load_at_ < interval_;
    if (too_soon || static_cast<std::size_t>(loading) >= max_loading_) {
        return std::nullopt;
    }
    const auto domains = count_by_domain(candidates, true);
    const load_candidate* best = nullptr;
    const auto rank = [&](const load_candidate& c) {
        const auto& domain = domains.at(c.failure_domain);
        const auto covered = static_cast<double>(domain.holding) / domain.replicas;
        return std::tuple{covered, c.running, c.upstream};
    };
    for (const auto& c : candidates) {
        const auto& domain = domains.at(c.failure_domain);
        const bool wanted =
            !c.holds && !c.loading && domain.holding < domain.required_replicas(share);
        if (wanted && (best == nullptr || rank(c) < rank(*best))) {
            best = &c;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    last_load_at_ = now;
    return best->upstream;
}

} // namespace wagtailhitch
