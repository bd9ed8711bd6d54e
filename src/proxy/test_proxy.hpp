#pragma once

#include "proxy/proxy_core.hpp"

#include <memory>
#include <string>
#include <utility>

// Test fixture of a proxy core with one deployment: an engine service and an application with three
// replicas each, in two failure domains of one region and one of another.

namespace wagtailhitch::testing_proxy {

inline proxy_route make_route(const std::string& name, const std::string& prefix,
                              const std::string& service, route_kind kind)
{
    proxy_route out;
    out.name = name;
    out.host = "api.example";
    out.path_prefix = prefix;
    out.kind = kind;
    out.resumable = kind == route_kind::stream;
    out.timeout = 15s;
    out.target_latency = 2s;
    out.maximum_sends = kind == route_kind::non_idempotent ? 1 : 3;
    out.services = {{service, 1}};
    return out;
}

inline catalog_contents make_contents(revision version)
{
    catalog_contents out;
    out.version = version;
    out.routes = {make_route("report", "/report/", "engine", route_kind::stream),
                  make_route("publish", "/publish/", "app", route_kind::non_idempotent),
                  make_route("read", "/read/", "app", route_kind::idempotent)};
    out.routes[0].models = {"small", "middle", "large"};
    out.teams = std::vector<proxy_team>{{team_id{"bulletins"}, {"key-1"}, 0, false}};
    return out;
}

inline proxy_settings make_settings(const std::string& vm = "vm-1")
{
    proxy_settings out;
    out.self = {vm_id{vm}, 1};
    out.report_address = "127.0.0.1:1";
    out.failure_domain = failure_domain_id{"a"};
    out.region = region_id{"south"};
    out.regions = {{failure_domain_id{"a"}, region_id{"south"}},
                   {failure_domain_id{"b"}, region_id{"south"}},
                   {failure_domain_id{"c"}, region_id{"north"}}};
    out.link_bytes_per_second = 1e6;
    out.chooser.region_after = 0ms;
    out.retry.budget_window = 10s;
    out.retry.budget_share = 0.8;
    out.repeat_slack = 55;
    out.minimum_vm_count = 11;
    out.retry.max_retries = 8;
    out.retry.restart_unsent = true;
    out.pool.failure_domain = out.failure_domain;
    out.pool.region = out.region;
    return out;
}

inline replica_announcement make_replica(const std::string& id, const std::string& service,
                                         const std::string& domain,
                                         const std::string& software = "v1")
{
    replica_announcement out;
    out.id = upstream_id{id};
    out.service = service;
    out.address = "127.0.0.1:" + std::to_string(1000 + std::hash<std::string>{}(id) % 50000);
    out.failure_domain = failure_domain_id{domain};
    out.software = software;
    out.slots = 6;
    out.started_ms = 100;
    return out;
}

class proxy_deployment {
public:
    explicit proxy_deployment(const std::string& vm = "vm-1")
        : proxy_deployment{make_settings(vm), make_contents(1)}
    {
    }
    proxy_deployment(const proxy_settings& settings, catalog_contents contents)
        : core{settings, counters, clock.now()}
    {
        core.set_catalog(std::make_shared<const proxy_catalog>(std::move(contents)));
        core.confirm(clock.now());
        for (const char* domain : {"a", "b", "c"}) {
            announce(make_replica(std::string{"engine-"} + domain, "engine", domain));
            announce(make_replica(std::string{"app-"} + domain, "app", domain));
        }
        core.tick(clock.now());
    }

    void announce(const replica_announcement& replica)
    {
        core.replicas().announce(replica, clock.now());
    }

    [[nodiscard]] proxied_request request(const std::string& path,
                                          const std::string& session = {}) const
    {
        proxied_request out;
        out.id = "id-" + path + session;
        out.host = "api.example";
        out.path = path;
        out.key = "key-1";
        out.session = session;
        out.deadline = 10s;
        out.received_at = clock.now();
        return out;
    }

    manual_clock clock;
    metrics counters;
    proxy_core core;
};

} // namespace wagtailhitch::testing_proxy
