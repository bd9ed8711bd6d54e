#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The routes, services and teams of proxied requests. Each new configuration replaces the whole
// catalog.
//
//   proxy_catalog catalog{std::move(contents)};
//   const proxy_route* route = catalog.find_route("api.example", "/reports/7");
//   const proxy_team* team = catalog.find_team(credential);

namespace wagtailhitch {

/// Kind of a route's requests, which decides whether a request may run again. A stream may if its
/// route is `resumable`.
enum class route_kind { idempotent, non_idempotent, stream };

template<>
inline constexpr auto enum_names<route_kind> = name_table<route_kind, 3>{{
    {route_kind::idempotent, "idempotent"},
    {route_kind::non_idempotent, "non_idempotent"},
    {route_kind::stream, "stream"},
}};

/// A service that receives part of a route's requests.
struct service_share {
    std::string service;
    double weight{1};
};

struct proxy_route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    route_kind kind{route_kind::non_idempotent};
    bool resumable{false};
    bool anonymous{false};           ///< needs no team
    duration timeout{};              ///< longest time until the final answer
    duration target_latency{};       ///< until the answer, or the first event of a stream
    duration target_gap{};           ///< between events of a stream
    std::uint32_t maximum_sends{1};  ///< replicas that one request may be sent to
    std::uint32_t priority{0};       ///< 0 is served first
    std::vector<std::string> models; ///< smallest first; empty: the request names its model
    std::vector<service_share> services;
    /// Regions in which requests may be served; empty: all.
    std::vector<region_id> allowed_regions;

    [[nodiscard]] bool repeatable() const
    {
        return kind == route_kind::idempotent || (kind == route_kind::stream && resumable);
    }
};

struct proxy_team {
    team_id name;
    std::vector<std::string> keys; ///< empty ones are ignored
    std::uint32_t priority{0};     ///< takes precedence over the route's
    bool has_priority{false};
    /// Regions in which the team's requests may be served; empty: all.
    std::vector<region_id> allowed_regions{};
};

/// Cost per 1000 generated tokens; a prompt token costs a quarter of a generated one.
struct model_price {
    std::string name;
    double cost{0};
};

struct proxy_service {
    std::string name;
    std::uint32_t maximum_connections{0}; ///< to one replica, from all callers; 0: unlimited
    std::vector<model_price> models;
    std::uint32_t tokens_per_event{1}; ///< generated tokens in one event of a stream
    duration cold_period{};            ///< for which a replica is cold after its start
    double cold_rate{0};               ///< requests a second that a cold replica takes; 0: no bound
};

/// Bounds on what a caller may send.
struct request_limits {
    std::size_t header_bytes{std::size_t{16} * 1024};
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    duration header_timeout{3s};
    duration idle_timeout{15s};
};

struct catalog_contents {
    revision version{0};
    std::vector<proxy_route> routes;
    std::vector<proxy_service> services;
    /// Unset: requests need no key. An empty list: no key is valid.
    std::optional<std::vector<proxy_team>> teams;
    request_limits limits;
};

class proxy_catalog {
public:
    explicit proxy_catalog(catalog_contents contents);
    proxy_catalog(const proxy_catalog&) = delete; // the indexes point into contents_
    proxy_catalog& operator=(const proxy_catalog&) = delete;

    [[nodiscard]] revision version() const { return contents_.version; }
    [[nodiscard]] const request_limits& limits() const { return contents_.limits; }
    [[nodiscard]] const std::vector<proxy_route>& routes() const { return contents_.routes; }
    [[nodiscard]] const std::vector<proxy_service>& services() const { return contents_.services; }
    /// Whether requests on routes that are not anonymous need a team's key.
    [[nodiscard]] bool requires_key() const { return contents_.teams.has_value(); }
    [[nodiscard]] std::size_t team_count() const
    {
        return contents_.teams ? contents_.teams->size() : 0;
    }

    /// Returns the host's route with the longest prefix that matches the path, or null.
    [[nodiscard]] const proxy_route* find_route(std::string_view host, std::string_view path) const;
    /// Returns the team that holds the key, or null.
    [[nodiscard]] const proxy_team* find_team(std::string_view key) const;
    [[nodiscard]] const proxy_service* find_service(std::string_view name) const;
    [[nodiscard]] const proxy_route* find_route_by_name(std::string_view name) const;
    [[nodiscard]] const proxy_team* find_team_by_name(std::string_view name) const;

private:
    catalog_contents contents_;
    std::map<std::string, std::vector<const proxy_route*>, std::less<>> by_host_;
    std::unordered_map<std::string_view, const proxy_team*> by_key_;
    std::unordered_map<std::string_view, const proxy_service*> by_service_;
    std::unordered_map<std::string_view, const proxy_route*> by_route_name_;
    std::unordered_map<std::string_view, const proxy_team*> by_team_name_;
};

/// Chooses the service for a request. Requests with the same `affinity_hash` go to the same service
/// while the shares are unchanged. Any hash of what must stay together will do.
const std::string& pick_service(const proxy_route& route, std::uint64_t affinity_hash);

} // namespace wagtailhitch
