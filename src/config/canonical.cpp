#include "base/digest.hpp"
#include "config/parse.hpp"

namespace wagtailhitch {

namespace {

using nlohmann::json;

json to_json(const version_spec& spec)
{
    json stages = json::array();
    for (const auto& stage : spec.rollout) {
        stages.push_back({{"exposed_basis_points", stage.exposed_basis_points},
                          {"minimum_ratings", stage.minimum_ratings},
                          {"minimum_time_ms", to_milliseconds(stage.minimum_time)}});
    }
    json out{{"state", name_of(spec.state)},
             {"cost_per_1k_input", spec.cost_per_1k_input},
             {"cost_per_1k_output", spec.cost_per_1k_output},
             {"when_cut_off", name_of(spec.when_cut_off)},
             {"rollout", std::move(stages)}};
    if (spec.replacement) {
        out["replacement"] = spec.replacement->value;
    }
    return out;
}

json to_json(const model_spec& spec)
{
    json versions = json::object();
    for (const auto& [name, version] : spec.versions) {
        versions[name.value] = to_json(version);
    }
    return {{"quality", spec.quality}, {"versions", std::move(versions)}};
}

json to_json(const team_spec& spec)
{
    return {{"token_sha256", spec.token_sha256},
            {"weight", spec.weight},
            {"allowed", spec.allowed},
            {"limits",
             {{"requests_per_second", spec.limits.requests_per_second},
              {"tokens_per_minute", spec.limits.tokens_per_minute},
              {"spend_per_hour", spec.limits.spend_per_hour}}},
            {"on_withdrawn", name_of(spec.on_withdrawn)}};
}

json to_json(const route_spec& spec)
{
    json steps = json::array();
    for (const auto& model : spec.steps) {
        steps.push_back(model.value);
    }
    return {{"steps", std::move(steps)},
            {"quality_target", spec.quality_target},
            {"deadline_ms", to_milliseconds(spec.deadline)},
            {"first_token_ms", to_milliseconds(spec.first_token)},
            {"class", name_of(spec.kind)}};
}

json to_json(const service_spec& spec)
{
    json calls = json::object();
    for (const auto& [name, call] : spec.calls) {
        calls[name] = {
            {"method", call.method}, {"path", call.path}, {"idempotent", call.idempotent}};
    }
    return {{"calls", std::move(calls)}};
}

json to_json(const upstream_spec& spec)
{
    json out{{"kind", name_of(spec.kind)},
             {"address", spec.address},
             {"failure_domain", spec.failure_domain.value},
             {"region", spec.region.value},
             {"slots", spec.slots},
             {"speed", spec.speed},
             {"checks_fencing", spec.checks_fencing}};
    if (spec.kind == upstream_kind::service) {
        out["service"] = spec.service;
        return out;
    }
    out["versions"] = json::array();
    for (const auto& version : spec.versions) {
        out["versions"].push_back(version.value);
    }
    return out;
}

} // namespace

json to_json(const document& doc)
{
    json out{{"models", json::object()},
             {"teams", json::object()},
             {"routes", json::object()},
             {"services", json::object()},
             {"upstreams", json::object()}};
    for (const auto& [name, spec] : doc.models) {
        out["models"][name.value] = to_json(spec);
    }
    for (const auto& [name, spec] : doc.teams) {
        out["teams"][name.value] = to_json(spec);
    }
    for (const auto& [name, spec] : doc.routes) {
        out["routes"][name] = to_json(spec);
    }
    for (const auto& [name, spec] : doc.services) {
        out["services"][name] = to_json(spec);
    }
    for (const auto& [name, spec] : doc.upstreams) {
        out["upstreams"][name.value] = to_json(spec);
    }
    return out;
}

std::string document_digest(const document& doc)
{
    return digest128_hex(to_json(doc).dump());
}

} // namespace wagtailhitch
