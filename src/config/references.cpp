#include "config/references.hpp"

#include <set>

namespace wagtailhitch::detail {

namespace {

std::string in_quotes(const std::string& text)
{
    return '"' + text + '"';
}

/// Maps every version to its model; reports versions that two models define.
std::map<version_id, model_id> index_versions(const document& doc, error_sink& sink)
{
    std::map<version_id, model_id> out;
    for (const auto& [model, spec] : doc.models) {
        for (const auto& [version, ignored] : spec.versions) {
            const auto [it, inserted] = out.emplace(version, model);
            if (!inserted) {
                sink.add("/models/" + model.value + "/versions/" + version.value,
                         "a version that model " + in_quotes(it->second.value) + " also has",
                         "version names that are unique over all models");
            }
        }
    }
    return out;
}

void check_replacements(const document& doc, error_sink& sink)
{
    for (const auto& [model, spec] : doc.models) {
        for (const auto& [name, version] : spec.versions) {
            if (!version.replacement || version.replacement->empty()) {
                continue;
            }
            const auto path = "/models/" + model.value + "/versions/" + name.value + "/replacement";
            const auto it = spec.versions.find(*version.replacement);
            if (it == spec.versions.end() || *version.replacement == name) {
                sink.add(path, in_quotes(version.replacement->value),
                         "another version of model " + in_quotes(model.value));
            }
            else if (it->second.state == version_state::withdrawn) {
                sink.add(path, in_quotes(version.replacement->value) + ", which is withdrawn",
                         "a version that is not withdrawn");
            }
        }
    }
}

/// Reports names that could mean two things: a caller's `model` field names a route or a model, and
/// `allowed` a model or a version.
void check_ambiguity(const document& doc, const std::map<version_id, model_id>& versions,
                     error_sink& sink)
{
    for (const auto& [route, ignored] : doc.routes) {
        if (doc.models.contains(model_id{route})) {
            sink.add("/routes/" + route, "a name that a model also has",
                     "route names that differ from model names");
        }
    }
    for (const auto& [model, ignored] : doc.models) {
        if (versions.contains(version_id{model.value})) {
            sink.add("/models/" + model.value, "a name that a version also has",
                     "model names that differ from version names");
        }
    }
}

void check_teams(const document& doc, const std::map<version_id, model_id>& versions,
                 error_sink& sink)
{
    std::map<std::string, std::string> tokens;
    for (const auto& [name, team] : doc.teams) {
        const auto path = "/teams/" + name.value;
        for (std::size_t i = 0; i < team.allowed.size(); ++i) {
            const auto& allowed = team.allowed[i];
            if (!allowed.empty() && !doc.models.contains(model_id{allowed}) &&
                !versions.contains(version_id{allowed})) {
                sink.add(path + "/allowed/" + std::to_string(i), in_quotes(allowed),
                         "the name of a model or a version");
            }
        }
        const auto [it, inserted] = tokens.emplace(team.token_sha256, name.value);
        if (!inserted && !team.token_sha256.empty()) {
            sink.add(path + "/token_sha256", "the token of team " + in_quotes(it->second),
                     "a token for each team");
        }
    }
}

void check_routes(const document& doc, error_sink& sink)
{
    for (const auto& [name, route] : doc.routes) {
        std::set<model_id> seen;
        for (std::size_t i = 0; i < route.steps.size(); ++i) {
            const auto& model = route.steps[i];
            const auto path = "/routes/" + name + "/steps/" + std::to_string(i);
            if (!model.empty() && !doc.models.contains(model)) {
                sink.add(path, in_quotes(model.value), "the name of a model");
            }
            if (!model.empty() && !seen.insert(model).second) {
                sink.add(path, in_quotes(model.value) + " a second time", "each model once");
            }
        }
    }
}

void check_upstreams(const document& doc, const std::map<version_id, model_id>& versions,
                     error_sink& sink)
{
    std::map<std::string, std::string> addresses;
    for (const auto& [name, upstream] : doc.upstreams) {
        const auto path = "/upstreams/" + name.value;
        for (std::size_t i = 0; i < upstream.versions.size(); ++i) {
            const auto& version = upstream.versions[i];
            if (!version.empty() && !versions.contains(version)) {
                sink.add(path + "/versions/" + std::to_string(i), in_quotes(version.value),
                         "the name of a version");
            }
        }
        if (!upstream.service.empty() && !doc.services.contains(upstream.service)) {
            sink.add(path + "/service", in_quotes(upstream.service), "the name of a service");
        }
        const auto [it, inserted] = addresses.emplace(upstream.address, name.value);
        if (!inserted && !upstream.address.empty()) {
            sink.add(path + "/address", "the address of upstream " + in_quotes(it->second),
                     "an address for each upstream");
        }
    }
}

} // namespace

void check_references(const document& doc, error_sink& sink)
{
    const auto versions = index_versions(doc, sink);
    check_ambiguity(doc, versions, sink);
    check_replacements(doc, sink);
    check_teams(doc, versions, sink);
    check_routes(doc, sink);
    check_upstreams(doc, versions, sink);
}

} // namespace wagtailhitch::detail
