#include "harness.hh"

#include <iostream>
#include <sstream>

// A key is withdrawn, and a route moves to another service, right after configurations came in
// quick succession. Sound VMs read the store's records in parts of 1,024 KB, one part a second, and
// take the configuration as confirmed although newer records wait.

namespace review {
namespace {

constexpr double revoke_ms = 5000; // revokeMs
constexpr double apply_ms = 3000;  // configApplyMs
constexpr int grown_routes = 350;  // big_config, count = 350
constexpr int storm_gap_ms = 60;   // config_storm, gap_s = 0.06
constexpr int storm_changes = 25;  // config_storm, for_s = 1.5
constexpr int storms = 2;
constexpr double storm_pause_ms = 1000;
constexpr double observed_ms = 14'000;
const std::string withdrawn_key = "withdrawnkey00000001";
const std::string other_key = "otherkey000000000002";

struct configuration {
    int version{1};
    int routes{0}; ///< added by growth
    int idle_ms{15'000};
    bool with_key{true};
    std::string service{"app-old"};

    [[nodiscard]] std::string text() const
    {
        json out{{"version", version},
                 {"services", {service_of("app-old"), service_of("app-new")}}};
        json all = json::array({route("read", "/read/", "idempotent", service)});
        for (int i = 0; i < routes; ++i) {
            json it = route("grown-" + std::to_string(10'000 + i),
                            "/grown-" + std::to_string(10'000 + i) + "/", "idempotent", service);
            all.push_back(std::move(it));
        }
        out["routes"] = std::move(all);
        out["limits"] = {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", 4194304},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", idle_ms}};
        json keys = json::array();
        if (with_key) {
            keys.push_back(withdrawn_key);
        }
        keys.push_back("spare-key-0000000003");
        out["tenants"] = {{{"name", "tenant-a"}, {"apiKeys", keys}, {"priority", 1}},
                          {{"name", "tenant-b"}, {"apiKeys", {other_key}}, {"priority", 1}}};
        return out.dump();
    }

private:
    static json service_of(const std::string& name) { return review::service(name); }
};

int play()
{
    record log{record_path()};
    store_standin store;
    configuration current;
    const auto write = [&] {
        ++current.version;
        const std::string text = current.text();
        const double at = store.put("keyed.op", "config", text);
        log.line("operator: version " + std::to_string(current.version) + " is acknowledged, " +
                 std::to_string(text.size()) + " bytes");
        return at;
    };
    write();
    std::vector<std::unique_ptr<replica_standin>> replicas;
    for (const std::string service : {"app-old", "app-new"}) {
        for (const std::string zone : {"a", "b", "c"}) {
            replicas.push_back(std::make_unique<replica_standin>(
                store, log,
                replica_settings{
                    .id = "i-" + service + "-" + zone, .service = service, .zone = zone}));
        }
    }
    std::vector<std::unique_ptr<vm_process>> vms;
    for (const std::string zone : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<vm_process>(
            log, store.address(), vm_settings{.name = "vm-" + zone, .zone = zone}));
    }
    await_ready(log, vms);

    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::pair<std::string, answer>> answers; // key, answer
    std::vector<std::thread> clients;
    for (const auto& vm : vms) {
        for (const auto& key : {withdrawn_key, other_key}) {
            clients.emplace_back([&, key, port = vm->caller_port(), name = vm->name()] {
                caller client{log, port, name + (key == withdrawn_key ? "-withdrawn" : "-other")};
                for (int i = 0; !stopping; ++i) {
                    const answer got =
                        client.send({.path = "/read/" + std::to_string(i), .key = key});
                    const std::lock_guard lock{mutex};
                    answers.emplace_back(key, got);
                    sleep_ms(100);
                }
            });
        }
    }
    sleep_ms(5000); // longer than stabilityWindowMs
    if (with_trouble()) {
        for (int i = 0; i < 2; ++i) {
            current.routes += grown_routes;
            write();
            sleep_ms(1500);
        }
        sleep_ms(2000);
        double next = now_ms();
        for (int i = 0; i < storms * storm_changes; ++i) {
            if (i > 0 && i % storm_changes == 0) {
                next += storm_pause_ms;
                sleep_ms(next - now_ms());
            }
            current.idle_ms = 15'000 + i;
            write();
            next += storm_gap_ms;
            sleep_ms(next - now_ms());
        }
    }
    current.with_key = false;
    current.service = "app-new";
    const double acknowledged = write();
    log.line("the last version withdraws the key and moves the route to app-new");
    sleep_ms(observed_ms);
    stopping = true;
    for (auto& it : clients) {
        it.join();
    }

    std::map<std::string, run_event> runs;
    for (const auto& it : replicas) {
        for (const auto& event : it->arrivals()) {
            if (event.run) {
                runs[event.attempt] = event;
            }
        }
    }
    int late_key = 0;
    int late_route = 0;
    double worst = 0;
    for (const auto& [key, got] : answers) {
        const double after = got.sent_at - acknowledged;
        const auto run = runs.find(got.attempt);
        if (run == runs.end()) {
            continue;
        }
        if (key == withdrawn_key && after > revoke_ms) {
            ++late_key;
            worst = std::max(worst, after);
        }
        if (key == other_key && after > apply_ms && run->second.service == "app-old") {
            ++late_route;
        }
    }
    std::ostringstream why;
    why << late_key << " requests with the withdrawn key, sent later than " << revoke_ms
        << " ms after its withdrawal was acknowledged, ran (the last one was sent " << worst
        << " ms after it); " << late_route << " requests sent later than " << apply_ms
        << " ms after it ran at the old service";
    return verdict(log, late_key > 0, why.str());
}

} // namespace
} // namespace review

int main()
{
    return review::play();
}
