#include "node/status_report.hpp"

#include "config/parse.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch {

namespace {

using json = nlohmann::json;

json age_of(const std::optional<time_point>& at, time_point now)
{
    return at ? json(to_milliseconds(now - *at)) : json(nullptr);
}

json in_force(const core_state& state, const configuration_control& configuration,
              const membership_control& membership, time_point now)
{
    const auto& fold = state.configuration.fold();
    json out;
    out["vm"] = state.self().vm.value;
    out["failure_domain"] = state.settings.failure_domain.value;
    out["region"] = state.settings.region.value;
    out["revision"] = fold.current_revision();
    out["digest"] = fold.digest();
    out["in_force_ms"] = to_milliseconds(now - configuration.in_force_since());
    out["confirmed_age_ms"] = age_of(state.configuration.confirmed_at(), now);
    out["cut_off"] = state.configuration.cut_off(now);
    out["peers"] = json::array();
    for (const auto& [vm, peer] : membership.peers()) {
        out["peers"].push_back({{"vm", vm.value},
                                {"failure_domain", peer.failure_domain.value},
                                {"revision", peer.in_force},
                                {"ready", peer.ready},
                                {"confirmed_age_ms", age_of(peer.confirmed_at, now)},
                                {"heard_age_ms", to_milliseconds(now - peer.last_heartbeat_at)}});
    }
    out["verdicts"] = json::array();
    for (const auto& verdict : fold.verdicts()) {
        out["verdicts"].push_back({{"submission", verdict.submission},
                                   {"accepted", verdict.accepted()},
                                   {"reason", verdict.refused ? name_of(*verdict.refused) : ""},
                                   {"detail", verdict.detail},
                                   {"revision", verdict.at}});
    }
    return out;
}

json describe_versions(const core_state& state)
{
    json out = json::array();
    for (const auto& [model, spec] : state.doc->models) {
        for (const auto& [version, facts] : spec.versions) {
            out.push_back(
                {{"model", model.value},
                 {"version", version.value},
                 {"state", name_of(facts.state)},
                 {"exposed_basis_points", state.rollouts.exposed_basis_points(version, facts)}});
        }
    }
    return out;
}

json describe_upstreams(const core_state& state)
{
    json out = json::array();
    for (const auto& [id, record] : state.upstreams.records()) {
        json loaded = json::array();
        for (const auto& version : record.loaded) {
            loaded.push_back(version.value);
        }
        out.push_back({{"upstream", id.value},
                       {"failure_domain", record.spec.failure_domain.value},
                       {"state", name_of(record.state)},
                       {"running", record.running},
                       {"waiting", record.waiting},
                       {"loaded", std::move(loaded)}});
    }
    return out;
}

json describe_vms(const core_state& state)
{
    json out = json::array();
    for (const auto& [vm, record] : state.vms.records()) {
        out.push_back({{"vm", vm.value},
                       {"incarnation", record.process.run},
                       {"failure_domain", record.failure_domain.value},
                       {"state", name_of(record.state)},
                       {"listed", record.listed}});
    }
    return out;
}

json describe_leases(const core_state& state, const stream_control& streams, time_point now)
{
    json out = json::array();
    for (const auto& [which, elector] : streams.electors()) {
        const auto* lease = state.leases.find(elector.duty());
        json entry{{"duty", elector.duty()},
                   {"holder", nullptr},
                   {"held_here", elector.authority(now).has_value()}};
        if (lease != nullptr && !lease->released) {
            entry["holder"] = lease->holder.vm.value;
            entry["fencing"] = lease->fencing;
        }
        out.push_back(std::move(entry));
    }
    return out;
}

json describe_limits(const core_state& state, time_point now)
{
    json out = json::array();
    for (const auto& [team, spec] : state.doc->teams) {
        const auto rates = state.limiter.rates(team, now);
        out.push_back({{"team", team.value},
                       {"requests_per_second", rates.requests},
                       {"tokens_per_second", rates.tokens},
                       {"spend_per_second", rates.money}});
    }
    return out;
}

json status(const core_state& state, const stream_control& streams, time_point now)
{
    json out;
    out["vm"] = state.self().vm.value;
    out["incarnation"] = state.self().run;
    out["versions"] = describe_versions(state);
    out["upstreams"] = describe_upstreams(state);
    out["membership"] = describe_vms(state);
    out["leases"] = describe_leases(state, streams, now);
    out["limits"] = describe_limits(state, now);
    out["claims"] = {
        {"known", state.claims.size()},
        {"unsent", state.claim_items.size()},
        {"confirmed_age_ms", to_milliseconds(now - state.claim_records.confirmed_at())}};
    out["bills"] = {
        {"own", state.bills.own()}, {"held", state.bills.held()}, {"bytes", state.bills.bytes()}};
    return out;
}

json models(const core_state& state)
{
    json data = json::array();
    for (const auto& [name, route] : state.doc->routes) {
        data.push_back({{"id", name}, {"object", "model"}, {"owned_by", "route"}});
    }
    for (const auto& [name, model] : state.doc->models) {
        data.push_back({{"id", name.value}, {"object", "model"}, {"owned_by", "model"}});
    }
    return {{"object", "list"}, {"data", std::move(data)}};
}

json_ptr share(json value)
{
    return std::make_shared<const json>(std::move(value));
}

} // namespace

published_state report_state(const core_state& state, const configuration_control& configuration,
                             const membership_control& membership, const stream_control& streams,
                             time_point now)
{
    published_state out;
    const auto readiness = state.configuration.readiness();
    out.ready = state.ready();
    out.not_ready_reason = state.stopping ? "The VM is shutting down." : readiness.reason;
    out.in_force = share(in_force(state, configuration, membership, now));
    out.status = share(status(state, streams, now));
    out.models = share(models(state));
    return out;
}

} // namespace wagtailhitch
