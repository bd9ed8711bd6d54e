#include "config/parse.hpp"

#include "base/digest.hpp"
#include "config/json_reader.hpp"
#include "config/references.hpp"
#include "config/settings.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace wagtailhitch {

namespace {

using detail::count_range;
using detail::error_sink;
using detail::number_range;
using detail::object_reader;
using nlohmann::json;

constexpr std::array<std::string_view, 5> section_names{"models", "routes", "services", "teams",
                                                        "upstreams"};
constexpr number_range share_range{0, 1, false};
constexpr number_range amount_range{};
constexpr number_range positive_range{0, std::numeric_limits<double>::max(), true};
constexpr std::uint64_t max_duration_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_stage_ms = 31 * max_duration_ms;

duration read_ms(object_reader& in, std::string_view key, std::uint64_t lowest)
{
    return std::chrono::milliseconds{in.count(key, {lowest, max_duration_ms})};
}

rollout_stage read_stage(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    rollout_stage out;
    out.exposed_basis_points =
        static_cast<std::uint32_t>(in.count("exposed_basis_points", {1, 10000}));
    out.minimum_ratings = static_cast<std::uint32_t>(in.count_or("minimum_ratings", {}, 0));
    out.minimum_time =
        std::chrono::milliseconds{in.count_or("minimum_time_ms", {0, max_stage_ms}, 0)};
    in.finish();
    return out;
}

void read_stages(object_reader& in, version_spec& out, error_sink& sink)
{
    std::uint32_t previous = 0;
    in.each_element("rollout", [&](const json& value, const std::string& path) {
        const auto stage = read_stage(value, path, sink);
        if (stage.exposed_basis_points != 0 && stage.exposed_basis_points <= previous) {
            sink.add(path + "/exposed_basis_points", std::to_string(stage.exposed_basis_points),
                     "more than the previous stage's " + std::to_string(previous));
        }
        previous = std::max(previous, stage.exposed_basis_points);
        out.rollout.push_back(stage);
    });
    if (out.state == version_state::rolling && out.rollout.empty()) {
        in.fail("rollout", "no stage", "at least one stage for a version that is rolling out");
    }
}

version_spec read_version(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    version_spec out;
    out.state = in.choice<version_state>("state");
    out.cost_per_1k_input = in.number("cost_per_1k_input", amount_range);
    out.cost_per_1k_output = in.number("cost_per_1k_output", amount_range);
    if (in.find("replacement") != nullptr) {
        out.replacement = version_id{in.name("replacement")};
    }
    // By default a VM that is cut off does not serve a version that is rolling out, because it can
    // no longer enforce the conditions of the rollout stages.
    const auto fallback =
        out.state == version_state::rolling ? cut_off_policy::stop : cut_off_policy::serve;
    out.when_cut_off = in.choice_or("when_cut_off", fallback);
    read_stages(in, out, sink);
    in.finish();
    return out;
}

model_spec read_model(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    model_spec out;
    out.quality = in.number("quality", share_range);
    const auto* versions = in.require("versions", "an object of versions");
    if (versions != nullptr && versions->is_object() && versions->empty()) {
        in.fail("versions", "no version", "at least one version");
    }
    in.each_member("versions", [&](const auto& name, const json& item, const auto& where) {
        out.versions.emplace(version_id{name}, read_version(item, where, sink));
    });
    in.finish();
    return out;
}

team_limits read_limits(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    team_limits out;
    out.requests_per_second = in.number_or("requests_per_second", amount_range, 0);
    out.tokens_per_minute = in.number_or("tokens_per_minute", amount_range, 0);
    out.spend_per_hour = in.number_or("spend_per_hour", amount_range, 0);
    in.finish();
    return out;
}

std::vector<std::string> read_names(object_reader& in, std::string_view key, bool may_be_empty,
                                    error_sink& sink)
{
    std::vector<std::string> out;
    const auto* found = in.require(key, "an array of names");
    in.each_element(key, [&](const json& value, const std::string& path) {
        // An invalid entry becomes an empty name, so that errors show the right index for later
        // entries.
        out.push_back(value.is_string() ? value.get<std::string>() : std::string{});
        if (!value.is_string()) {
            sink.add(path, detail::value_excerpt(value), "a name");
        }
    });
    if (found != nullptr && found->is_array() && found->empty() && !may_be_empty) {
        in.fail(key, "no name", "at least one name");
    }
    return out;
}

std::string read_token_digest(object_reader& in)
{
    constexpr std::size_t digits = 64;
    auto text = in.text("token_sha256");
    if (!text.empty() && (text.size() != digits || !from_hex(text))) {
        in.fail("token_sha256", '"' + text + '"', "64 hexadecimal digits");
    }
    for (char& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

team_spec read_team(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    team_spec out;
    out.token_sha256 = read_token_digest(in);
    out.weight = in.number_or("weight", positive_range, 1);
    out.allowed = read_names(in, "allowed", false, sink);
    if (const auto* limits = in.find("limits")) {
        out.limits = read_limits(*limits, in.path_of("limits"), sink);
    }
    out.on_withdrawn = in.choice_or("on_withdrawn", withdrawn_policy::replace);
    in.finish();
    return out;
}

route_spec read_route(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    route_spec out;
    for (auto& name : read_names(in, "steps", false, sink)) {
        out.steps.emplace_back(std::move(name));
    }
    out.quality_target = in.number_or("quality_target", share_range, 0);
    out.deadline = read_ms(in, "deadline_ms", 1);
    out.first_token =
        in.find("first_token_ms") != nullptr ? read_ms(in, "first_token_ms", 1) : out.deadline;
    out.kind = in.choice_or("class", request_class::short_request);
    in.finish();
    return out;
}

call_spec read_call(const json& value, const std::string& path, error_sink& sink)
{
    constexpr std::array<std::string_view, 5> methods{"GET", "POST", "PUT", "PATCH", "DELETE"};
    object_reader in{value, path, sink};
    call_spec out;
    out.method = in.text("method");
    if (!out.method.empty() && std::ranges::find(methods, out.method) == methods.end()) {
        in.fail("method", '"' + out.method + '"', "one of GET, POST, PUT, PATCH, DELETE");
    }
    out.path = in.text("path");
    if (!out.path.empty() && out.path.front() != '/') {
        in.fail("path", '"' + out.path + '"', "a path that starts with '/'");
    }
    out.idempotent = in.flag("idempotent");
    in.finish();
    return out;
}

service_spec read_service(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    service_spec out;
    in.require("calls", "an object of calls");
    in.each_member("calls", [&](const auto& name, const json& item, const auto& where) {
        out.calls.emplace(name, read_call(item, where, sink));
    });
    in.finish();
    return out;
}

void read_served_targets(object_reader& in, upstream_spec& out, error_sink& sink)
{
    if (out.kind == upstream_kind::service) {
        out.service = in.name("service");
        if (in.find("versions") != nullptr) {
            in.fail("versions", "versions", "no versions for a plain service");
        }
        return;
    }
    for (auto& name : read_names(in, "versions", true, sink)) {
        out.versions.emplace_back(std::move(name));
    }
    if (in.find("service") != nullptr) {
        in.fail("service", "a service", "no service for an engine");
    }
}

upstream_spec read_upstream(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    upstream_spec out;
    out.kind = in.choice<upstream_kind>("kind");
    out.address = in.text("address");
    const auto address = parse_socket_address(out.address);
    if (!out.address.empty() && (!address || address->port == 0)) {
        in.fail("address", '"' + out.address + '"', "IP:port with a port from 1");
        out.address.clear();
    }
    out.failure_domain = failure_domain_id{in.name("failure_domain")};
    out.region = region_id{in.name("region")};
    read_served_targets(in, out, sink);
    out.slots = static_cast<std::uint32_t>(in.count_or("slots", {1, 100000}, 1));
    out.speed = in.number_or("speed", positive_range, 1);
    out.checks_fencing = in.flag_or("checks_fencing", false);
    in.finish();
    return out;
}

document read_document(const json& merged, error_sink& sink)
{
    object_reader in{merged, "", sink};
    document out;
    in.each_member("models", [&](const auto& name, const json& item, const auto& path) {
        out.models.emplace(model_id{name}, read_model(item, path, sink));
    });
    in.each_member("teams", [&](const auto& name, const json& item, const auto& path) {
        out.teams.emplace(team_id{name}, read_team(item, path, sink));
    });
    in.each_member("routes", [&](const auto& name, const json& item, const auto& path) {
        out.routes.emplace(name, read_route(item, path, sink));
    });
    in.each_member("services", [&](const auto& name, const json& item, const auto& path) {
        out.services.emplace(name, read_service(item, path, sink));
    });
    in.each_member("upstreams", [&](const auto& name, const json& item, const auto& path) {
        out.upstreams.emplace(upstream_id{name}, read_upstream(item, path, sink));
    });
    in.finish();
    return out;
}

/// Maps a JSON path to the file that defines its longest known prefix, such as "/models" or
/// "/models/narrator".
class file_index {
public:
    void set(const std::string& path, const std::string& file) { files_.emplace(path, file); }

    [[nodiscard]] std::string file_of(std::string path) const
    {
        while (true) {
            const auto it = files_.find(path);
            if (it != files_.end()) {
                return it->second;
            }
            const auto slash = path.rfind('/');
            if (slash == std::string::npos) {
                return "all files";
            }
            path.resize(slash);
        }
    }

    [[nodiscard]] const std::string* exact(const std::string& path) const
    {
        const auto it = files_.find(path);
        return it == files_.end() ? nullptr : &it->second;
    }

private:
    std::map<std::string, std::string> files_;
};

/// Merges the sections of several files into one JSON object.
class merger {
public:
    explicit merger(config_errors& errors) : errors_{errors} {}

    void add(const config_file& file)
    {
        const auto parsed = detail::parse_text(file.name, file.text, errors_);
        if (!parsed) {
            return;
        }
        if (!parsed->is_object()) {
            errors_.push_back({file.name, "", detail::value_excerpt(*parsed), "an object"});
            return;
        }
        for (const auto& [name, section] : parsed->items()) {
            add_section(file.name, name, section);
        }
    }

    [[nodiscard]] const json& merged() const { return merged_; }
    [[nodiscard]] const file_index& files() const { return files_; }

private:
    void add_section(const std::string& file, const std::string& name, const json& section)
    {
        const auto path = detail::join("", name);
        if (std::ranges::find(section_names, name) == section_names.end() || !section.is_object()) {
            // read_document() reports the error.
            merged_[name] = section;
            files_.set(path, file);
            return;
        }
        auto& target = merged_[name];
        if (target.is_null()) {
            target = json::object();
        }
        for (const auto& [key, value] : section.items()) {
            add_member(file, detail::join(path, key), target, key, value);
        }
    }

    void add_member(const std::string& file, const std::string& path, json& target,
                    const std::string& key, const json& value)
    {
        if (target.is_object() && !target.contains(key)) {
            target[key] = value;
            files_.set(path, file);
            return;
        }
        const auto* first = files_.exact(path);
        errors_.push_back({file, path,
                           "a second definition, the first being in " +
                               (first == nullptr ? "another file" : *first),
                           "one definition"});
    }

    config_errors& errors_;
    json merged_ = json::object();
    file_index files_;
};

} // namespace

checked<document> parse_files(const std::vector<config_file>& files)
{
    config_errors errors;
    merger all{errors};
    for (const auto& file : files) {
        all.add(file);
    }
    error_sink sink{[&all](const std::string& path) { return all.files().file_of(path); }};
    auto doc = read_document(all.merged(), sink);
    detail::check_references(doc, sink);
    errors.insert(errors.end(), sink.errors().begin(), sink.errors().end());
    if (!errors.empty()) {
        return tl::unexpected(errors);
    }
    return doc;
}

checked<document> parse_document(const json& merged, const std::string& source)
{
    error_sink sink{[&source](const std::string&) { return source; }};
    auto doc = read_document(merged, sink);
    detail::check_references(doc, sink);
    if (!sink.errors().empty()) {
        return tl::unexpected(sink.errors());
    }
    return doc;
}

} // namespace wagtailhitch
