#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// The operators' configuration document as validated, typed data. Outside tests, only
// parse_document() in config/parse.hpp constructs one, from JSON.
//
//   const auto& version = document.models.at(model_id{"narrator"}).versions.at(version_id{"n-3"});

namespace wagtailhitch {

/// Life-cycle state of a version. A withdrawn version receives no new requests.
enum class version_state { rolling, settled, withdrawn };

template<>
inline constexpr auto enum_names<version_state> = name_table<version_state, 3>{{
    {version_state::rolling, "rolling"},
    {version_state::settled, "settled"},
    {version_state::withdrawn, "withdrawn"},
}};

/// Whether a VM that cannot confirm that its configuration is current still serves a version.
enum class cut_off_policy { serve, stop };

template<>
inline constexpr auto enum_names<cut_off_policy> = name_table<cut_off_policy, 2>{{
    {cut_off_policy::serve, "serve"},
    {cut_off_policy::stop, "stop"},
}};

/// What happens to a session whose version is withdrawn: it moves to a replacement or is refused.
enum class withdrawn_policy { replace, refuse };

template<>
inline constexpr auto enum_names<withdrawn_policy> = name_table<withdrawn_policy, 2>{{
    {withdrawn_policy::replace, "replace"},
    {withdrawn_policy::refuse, "refuse"},
}};

/// Short requests are queued ahead of long ones.
enum class request_class { short_request, long_request };

template<>
inline constexpr auto enum_names<request_class> = name_table<request_class, 2>{{
    {request_class::short_request, "short"},
    {request_class::long_request, "long"},
}};

enum class upstream_kind { engine, service };

template<>
inline constexpr auto enum_names<upstream_kind> = name_table<upstream_kind, 2>{{
    {upstream_kind::engine, "engine"},
    {upstream_kind::service, "service"},
}};

/// One stage of a rollout and the conditions that must hold before the next stage starts.
struct rollout_stage {
    std::uint32_t exposed_basis_points{0}; ///< share of sessions, in 1/10000
    std::uint32_t minimum_ratings{0};
    duration minimum_time{};

    friend bool operator==(const rollout_stage&, const rollout_stage&) = default;
};

struct version_spec {
    version_state state{version_state::settled};
    double cost_per_1k_input{0};  ///< currency units per 1000 prompt tokens
    double cost_per_1k_output{0}; ///< currency units per 1000 generated tokens
    std::optional<version_id> replacement;
    cut_off_policy when_cut_off{cut_off_policy::serve};
    std::vector<rollout_stage> rollout;

    friend bool operator==(const version_spec&, const version_spec&) = default;
};

struct model_spec {
    double quality{0}; ///< declared fraction of sufficient answers, 0 to 1
    std::map<version_id, version_spec> versions;

    friend bool operator==(const model_spec&, const model_spec&) = default;
};

/// A limit of 0 means "not limited".
struct team_limits {
    double requests_per_second{0};
    double tokens_per_minute{0};
    double spend_per_hour{0};

    friend bool operator==(const team_limits&, const team_limits&) = default;
};

struct team_spec {
    std::string token_sha256;         ///< hexadecimal
    double weight{1};                 ///< relative share of capacity under contention
    std::vector<std::string> allowed; ///< names of models or versions
    team_limits limits;
    withdrawn_policy on_withdrawn{withdrawn_policy::replace};

    friend bool operator==(const team_spec&, const team_spec&) = default;
};

struct route_spec {
    std::vector<model_id> steps; ///< cheapest model first
    double quality_target{0};    ///< 0 to 1
    duration deadline{};
    duration first_token{};
    request_class kind{request_class::short_request};

    friend bool operator==(const route_spec&, const route_spec&) = default;
};

struct call_spec {
    std::string method;
    std::string path;
    bool idempotent{false};

    friend bool operator==(const call_spec&, const call_spec&) = default;
};

struct service_spec {
    std::map<std::string, call_spec> calls;

    friend bool operator==(const service_spec&, const service_spec&) = default;
};

struct upstream_spec {
    upstream_kind kind{upstream_kind::engine};
    std::string address; ///< "IP:port"
    failure_domain_id failure_domain;
    region_id region;
    std::vector<version_id> versions; ///< engines only
    std::string service;              ///< services only
    std::uint32_t slots{1};           ///< maximum number of concurrent requests
    double speed{1};                  ///< generation rate relative to a standard replica
    bool checks_fencing{false};       ///< rejects requests with an outdated fencing number

    friend bool operator==(const upstream_spec&, const upstream_spec&) = default;
};

struct document {
    std::map<model_id, model_spec> models;
    std::map<team_id, team_spec> teams;
    std::map<std::string, route_spec> routes;
    std::map<std::string, service_spec> services;
    std::map<upstream_id, upstream_spec> upstreams;

    friend bool operator==(const document&, const document&) = default;
};

} // namespace wagtailhitch
