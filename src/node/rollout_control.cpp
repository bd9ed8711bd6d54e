#include "node/rollout_control.hpp"

#include "lease/lease_elector.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

// Evidence changes with answers and ratings, which take seconds; a shorter interval has no benefit.
constexpr duration evaluation_interval = 500ms;
// An order is repeated until the upstream reports the wanted state.
constexpr duration order_retry_interval = 10s;
constexpr double sufficient_score = 0.5;

} // namespace

rollout_control::rollout_control(core_state& state) : state_{state}, stepper_{state.self().vm} {}

void rollout_control::on_ratings(const ratings& received)
{
    const auto own = state_.self().vm.value + "/" + std::to_string(state_.self().run) + "/";
    for (const auto& item : received.items) {
        if (!item.request.starts_with(own)) {
            continue;
        }
        auto& counts = state_.own_evidence[item.version];
        ++counts.ratings;
        counts.insufficient += 1.0 - std::clamp(item.score, 0.0, 1.0);
        for (const auto& [model, spec] : state_.doc->models) {
            if (spec.versions.contains(item.version)) {
                state_.sufficiency.record(item.route, model, item.score >= sufficient_score);
            }
        }
    }
}

void rollout_control::on_evidence(const std::vector<evidence_entry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.from != state_.self()) {
            state_.evidence.set(entry.from, entry.version, entry.counts);
        }
    }
}

rollout_inputs rollout_control::facts_of(const model_spec& model, const version_id& version,
                                         const version_spec& spec) const
{
    rollout_inputs facts;
    facts.version = version;
    facts.spec = spec;
    if (const auto* progress = state_.rollouts.find(version)) {
        facts.progress = *progress;
    }
    facts.fresh = state_.evidence.total(version);
    for (const auto& [other, other_spec] : model.versions) {
        if (other_spec.state == version_state::settled) {
            facts.baseline += state_.evidence.total(other);
        }
    }
    facts.declared_quality = model.quality;
    const auto next = std::min<std::size_t>(facts.progress.step, spec.rollout.size() - 1);
    facts.capacity_ready =
        has_coverage(candidates_for(version), spec.rollout[next].exposed_basis_points);
    facts.fencing = held_authority_;
    return facts;
}

std::vector<load_candidate> rollout_control::candidates_for(const version_id& version) const
{
    std::vector<load_candidate> out;
    for (const auto& [id, record] : state_.upstreams.records()) {
        const auto& declared = record.spec.versions;
        if (std::find(declared.begin(), declared.end(), version) == declared.end()) {
            continue;
        }
        const bool holds =
            std::find(record.loaded.begin(), record.loaded.end(), version) != record.loaded.end();
        const auto ordered = ordered_.find({id, version});
        out.push_back({id, record.spec.failure_domain, holds, !holds && ordered != ordered_.end(),
                       record.running});
    }
    return out;
}

void rollout_control::send_order(const upstream_id& upstream, const std::string& action,
                                 const version_id& version, log_offset fencing,
                                 std::vector<output>& out)
{
    const auto& record = state_.upstreams.records().at(upstream);
    upstream_order order;
    order.order = next_order_++;
    order.upstream = upstream;
    order.address = record.spec.address;
    order.action = action;
    order.version = version;
    order.fencing = fencing;
    state_.counters.count("orders_total", {{"action", action}}).add();
    out.emplace_back(std::move(order));
}

void rollout_control::append(const rollout_record& record, std::vector<output>& out)
{
    state_.append(
        rollout_stream, {encode_rollout_record(record)},
        [](const auto&, time_point, std::vector<output>&) {}, out);
}

void rollout_control::refresh_records(log_offset fencing, time_point now, std::vector<output>& out)
{
    if (now < next_refresh_) {
        return;
    }
    const bool first = next_refresh_ == time_point{};
    next_refresh_ = now + state_.settings.log_retention / 4;
    if (first) {
        return; // a new holder need not repeat the records that it has just read
    }
    for (const auto& [version, progress] : state_.rollouts.all()) {
        const auto kind = progress.halted ? rollout_record_kind::halt : rollout_record_kind::step;
        append({kind, version, progress.step, fencing, progress.halt_reason, progress.halted_by},
               out);
    }
}

void rollout_control::order_load(const rollout_inputs& facts, time_point now,
                                 std::vector<output>& out)
{
    const auto next = std::min<std::size_t>(facts.progress.step, facts.spec.rollout.size() - 1);
    const auto share = facts.spec.rollout[next].exposed_basis_points;
    const auto chosen = planner_.next(candidates_for(facts.version), share, now);
    if (chosen) {
        ordered_[{*chosen, facts.version}] = now;
        send_order(*chosen, "load", facts.version, *facts.fencing, out);
    }
}

void rollout_control::order_withdrawals(log_offset fencing, time_point now,
                                        std::vector<output>& out)
{
    // Upstreams that ignore the fencing number may still receive orders of the previous holder,
    // until its authority ends after one term.
    if (now - held_since_ < lease_settings{}.term) {
        return;
    }
    for (const auto& [model, spec] : state_.doc->models) {
        for (const auto& [version, facts] : spec.versions) {
            if (facts.state != version_state::withdrawn) {
                continue;
            }
            for (const auto& candidate : candidates_for(version)) {
                auto& ordered = ordered_[{candidate.upstream, version}];
                if (candidate.holds && now - ordered >= order_retry_interval) {
                    ordered = now;
                    send_order(candidate.upstream, "withdraw", version, fencing, out);
                }
            }
        }
    }
}

void rollout_control::tick(std::optional<log_offset> authority, time_point now,
                           std::vector<output>& out)
{
    if (authority != held_authority_) {
        held_authority_ = authority;
        held_since_ = now;
    }
    if (now < next_evaluation_) {
        return;
    }
    next_evaluation_ = now + evaluation_interval;
    std::erase_if(ordered_,
                  [now](const auto& item) { return now - item.second > order_retry_interval; });
    for (const auto& [version, counts] : state_.own_evidence) {
        state_.evidence.set(state_.self(), version, counts);
    }
    for (const auto& [model, spec] : state_.doc->models) {
        for (const auto& [version, version_facts] : spec.versions) {
            if (version_facts.state != version_state::rolling || version_facts.rollout.empty()) {
                continue;
            }
            const auto facts = facts_of(spec, version, version_facts);
            if (const auto record = stepper_.decide(facts, now)) {
                state_.counters
                    .count("rollout_records_total", {{"kind", std::string{name_of(record->kind)}}})
                    .add();
                append(*record, out);
            }
            if (facts.fencing && !facts.progress.halted && !facts.capacity_ready) {
                order_load(facts, now, out);
            }
        }
    }
    if (held_authority_) {
        order_withdrawals(*held_authority_, now, out);
        refresh_records(*held_authority_, now, out);
    }
}

} // namespace wagtailhitch
