#include "routing/replica_chooser.hpp"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

// Decision time of the chooser against the number of replicas, versions and sessions.

namespace wagtailhitch {
namespace {

constexpr std::size_t blocks_per_prompt = 16;

struct fleet {
    fleet(std::size_t replicas, std::size_t version_count) : generator{42}, prefixes{1U << 16U}
    {
        for (std::size_t i = 0; i < version_count; ++i) {
            versions.emplace_back("model-" + std::to_string(i));
        }
        std::map<upstream_id, upstream_spec> upstreams;
        for (std::size_t i = 0; i < replicas; ++i) {
            upstream_spec spec;
            spec.address = "127.0.0.1:" + std::to_string(i + 1);
            spec.failure_domain = failure_domain_id{"sierra-a"};
            spec.region = region_id{"sierra"};
            // Each replica holds two versions.
            spec.versions = {versions[i % version_count], versions[(i + 1) % version_count]};
            spec.slots = 16;
            upstreams[upstream_id{"engine-" + std::to_string(i)}] = spec;
        }
        pool.configure(upstreams, clock.now());
        for (const auto& [id, spec] : upstreams) {
            pool.set_health(id, replica_health::usable, 1, clock.now());
            const auto running = static_cast<std::uint32_t>(generator() % 24);
            pool.report_load(id, {.running = running, .age = 500ms}, clock.now());
        }
    }
    // Records the prompts of sessions in the caches of random replicas that hold the version.
    void add_sessions(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<std::uint64_t> hashes(blocks_per_prompt);
            for (std::uint64_t& hash : hashes) {
                hash = generator();
            }
            const auto holder = static_cast<replica_index>(generator() % pool.size());
            prefixes.stored(holder, std::span{hashes}.first(blocks_per_prompt / 2));
            sessions.push_back(std::move(hashes));
        }
    }

    manual_clock clock;
    std::mt19937_64 generator;
    replica_pool pool{
        {.failure_domain = failure_domain_id{"sierra-a"}, .region = region_id{"sierra"}}};
    prefix_index prefixes;
    link_budget link{{}, time_point{}};
    std::vector<version_id> versions;
    std::vector<std::vector<std::uint64_t>> sessions;
};

void decide(benchmark::State& state, fleet& fleet, choice_policy policy)
{
    replica_chooser chooser{{.policy = policy, .sharing_vms = 26}};
    std::size_t round = 0;
    for (auto _ : state) {
        choice_request request;
        request.version = &fleet.versions[round % fleet.versions.size()];
        request.prompt_tokens = 2000;
        if (!fleet.sessions.empty()) {
            request.prefix_hashes = fleet.sessions[round * 7919 % fleet.sessions.size()];
        }
        const auto made = chooser.choose(fleet.pool, fleet.prefixes, fleet.link, request,
                                         fleet.clock.now(), fleet.generator);
        benchmark::DoNotOptimize(made);
        ++round;
    }
}

void choose_by_replicas(benchmark::State& state)
{
    fleet fleet{static_cast<std::size_t>(state.range(0)), 1};
    fleet.add_sessions(1000);
    decide(state, fleet, static_cast<choice_policy>(state.range(1)));
    state.SetLabel(std::string{name_of(static_cast<choice_policy>(state.range(1)))});
}
BENCHMARK(choose_by_replicas)
    ->ArgNames({"replicas", "policy"})
    ->ArgsProduct({{15, 60, 240, 960}, {0, 1, 2, 3, 4}});

void choose_by_versions(benchmark::State& state)
{
    fleet fleet{240, static_cast<std::size_t>(state.range(0))};
    decide(state, fleet, choice_policy::expected_time);
}
BENCHMARK(choose_by_versions)->ArgName("versions")->Arg(2)->Arg(8)->Arg(35);

void choose_by_sessions(benchmark::State& state)
{
    fleet fleet{240, 1};
    fleet.add_sessions(static_cast<std::size_t>(state.range(0)));
    decide(state, fleet, choice_policy::expected_time);
}
BENCHMARK(choose_by_sessions)->ArgName("sessions")->Arg(10)->Arg(1000)->Arg(8000);

void begin_and_finish(benchmark::State& state)
{
    fleet fleet{240, 1};
    for (auto _ : state) {
        const auto replica = static_cast<replica_index>(fleet.generator() % 240);
        const auto ticket = fleet.pool.begin(replica, fleet.clock.now());
        const attempt_outcome outcome{attempt_result::succeeded, 50ms, 1s, 60ms};
        benchmark::DoNotOptimize(fleet.pool.finish(ticket, outcome, fleet.clock.now()));
    }
}
BENCHMARK(begin_and_finish);

} // namespace
} // namespace wagtailhitch
