#include "proxy/catalog.hpp"

#include <algorithm>
#include <cctype>

namespace wagtailhitch {

namespace {

std::string to_lower(std::string_view text)
{
    std::string out{text};
    std::ranges::transform(out, out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

/// Removes the port of a Host header, which is ignored when a route is selected.
std::string_view without_port(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool in_brackets = !host.empty() && host.back() == ']';
    return colon == std::string_view::npos || in_brackets ? host : host.substr(0, colon);
}

} // namespace

proxy_catalog::proxy_catalog(catalog_contents contents) : contents_{std::move(contents)}
{
    for (const auto& route : contents_.routes) {
        by_host_[to_lower(route.host)].push_back(&route);
        by_route_name_.emplace(route.name, &route);
    }
    for (auto& [host, routes] : by_host_) {
        std::ranges::stable_sort(routes, [](const proxy_route* a, const proxy_route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    if (contents_.teams) {
        for (const auto& team : *contents_.teams) {
            by_team_name_.emplace(team.name.value, &team);
            for (const auto& key : team.keys) {
                // Requests without a key have an empty one.
                if (!key.empty()) {
                    by_key_.emplace(key, &team);
                }
            }
        }
    }
    for (const auto& service : contents_.services) {
        by_service_.emplace(service.name, &service);
    }
}

const proxy_route* proxy_catalog::find_route(std::string_view host, std::string_view path) const
{
    const auto it = by_host_.find(to_lower(without_port(host)));
    if (it == by_host_.end()) {
        return nullptr;
    }
    const std::string_view path_without_query = path.substr(0, path.find('?'));
    const auto found =
        std::ranges::find_if(it->second, [path_without_query](const proxy_route* route) {
            return path_without_query.starts_with(route->path_prefix);
        });
    return found == it->second.end() ? nullptr : *found;
}

const proxy_team* proxy_catalog::find_team(std::string_view key) const
{
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second;
}

const proxy_service* proxy_catalog::find_service(std::string_view name) const
{
    const auto it = by_service_.find(name);
    return it == by_service_.end() ? nullptr : it->second;
}

const proxy_route* proxy_catalog::find_route_by_name(std::string_view name) const
{
    const auto it = by_route_name_.find(name);
    return it == by_route_name_.end() ? nullptr : it->second;
}

const proxy_team* proxy_catalog::find_team_by_name(std::string_view name) const
{
    const auto it = by_team_name_.find(name);
    return it == by_team_name_.end() ? nullptr : it->second;
}

const std::string& pick_service(const proxy_route& route, std::uint64_t affinity_hash)
{
    double sum = 0;
    for (const auto& share : route.services) {
        sum += share.weight;
    }
    constexpr double two_to_64 = 18446744073709551616.0;
    double remaining_weight = static_cast<double>(affinity_hash) / two_to_64 * sum;
    for (const auto& share : route.services) {
        remaining_weight -= share.weight;
        if (remaining_weight < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace wagtailhitch
