#include "harness.hh"

#include <sstream>

// A configuration adds a streaming route that names several models and may not be resumed. When the
// smallest model doubts its answer, the VM drops the answer and runs the request once more, as it
// does on routes whose requests may be repeated.

namespace review {
namespace {

constexpr double apply_ms = 3000; // configApplyMs
constexpr int requests = 40;
const std::string key = "key00000000000000001";

json llm_route(const std::string& name, const std::string& prefix, bool resumable)
{
    json out = route(name, prefix, "streaming", "llm");
    out["sizes"] = {"small", "medium", "large"};
    out["sticky"] = true;
    out["resumable"] = resumable;
    out["timeoutMs"] = 15'000;
    out["targetLatencyMs"] = 3000;
    return out;
}

std::string configuration(int version, bool with_once)
{
    json llm = service("llm");
    llm["engine"] = {{"slots", 64},
                     {"kvCapacityTokens", 444000},
                     {"stride", 8},
                     {"models",
                      {{{"name", "small"}, {"cost", 0.026}},
                       {{"name", "medium"}, {"cost", 0.19}},
                       {{"name", "large"}, {"cost", 0.39}}}}};
    json routes = json::array({llm_route("again", "/stream/again/", true)});
    if (with_once) {
        routes.push_back(llm_route("once", "/stream/once/", false));
    }
    return json{{"version", version},
                {"routes", routes},
                {"services", {llm}},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}},
                {"tenants", {{{"name", "tenant-a"}, {"apiKeys", {key}}, {"priority", 1}}}}}
        .dump();
}

int play()
{
    record log{record_path()};
    store_standin store;
    store.put("keyed.op", "config", configuration(2, false));
    std::vector<std::unique_ptr<replica_standin>> replicas;
    for (const std::string zone : {"a", "b", "c"}) {
        replicas.push_back(std::make_unique<replica_standin>(
            store, log,
            replica_settings{.id = "i-llm-" + zone,
                             .service = "llm",
                             .zone = zone,
                             .confidence = {{"small", 20}, {"medium", 60}, {"large", 90}}}));
    }
    std::vector<std::unique_ptr<vm_process>> vms;
    for (const std::string zone : {"a", "b"}) {
        vms.push_back(std::make_unique<vm_process>(
            log, store.address(), vm_settings{.name = "vm-" + zone, .zone = zone}));
    }
    await_ready(log, vms);
    sleep_ms(5000); // longer than stabilityWindowMs
    if (with_trouble()) {
        store.put("keyed.op", "config", configuration(3, true));
        log.line("operator: version 3 adds the route once, which may not be resumed");
        sleep_ms(apply_ms + 500);
    }
    const std::string path = with_trouble() ? "/stream/once/" : "/stream/again/";
    unsigned served = 0;
    for (const auto& vm : vms) {
        caller client{log, vm->caller_port(), vm->name()};
        for (int i = 0; i < requests / 2; ++i) {
            const answer got = client.send(
                {.method = "POST",
                 .path = path + std::to_string(i),
                 .key = key,
                 .body = "prompt",
                 .headers = {{"Model", "*"},
                             {"Token-Counts", "100,32"},
                             {"Prompt-Prefix", "5c1e07a2:60," + std::to_string(i + 10) + "f0:40"}},
                 .deadline_ms = 15'000});
            served += got.status == 200 && got.complete ? 1 : 0;
        }
    }
    std::map<std::string, int> runs;
    for (const auto& it : replicas) {
        for (const auto& event : it->arrivals()) {
            runs[event.attempt] += event.run && event.path.starts_with("/stream/once/") ? 1 : 0;
        }
    }
    int twice = 0;
    for (const auto& [attempt, n] : runs) {
        twice += n > 1 ? 1 : 0;
    }
    std::ostringstream why;
    why << twice << " of " << requests
        << " requests on a streaming route that may not be resumed ran more than once; " << served
        << " were served";
    return verdict(log, twice > 0, why.str());
}

} // namespace
} // namespace review

int main()
{
    return review::play();
}
