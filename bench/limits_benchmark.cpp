#include "limits/admission_queue.hpp"
#include "limits/share_allocator.hpp"

#include <benchmark/benchmark.h>

#include <string>

// Time of the limit decisions against the number of teams, VMs and waiting requests.

namespace wagtailhitch {
namespace {

team_id team_name(std::int64_t i)
{
    return team_id{"team-" + std::to_string(i)};
}

std::map<team_id, team_spec> make_teams(std::int64_t count)
{
    std::map<team_id, team_spec> teams;
    for (std::int64_t i = 0; i < count; ++i) {
        team_spec spec;
        spec.limits = {1e9, 1e12, 1e9};
        teams[team_name(i)] = spec;
    }
    return teams;
}

void admit_by_teams(benchmark::State& state)
{
    manual_clock clock;
    team_limiter limiter{{.vm = vm_id{"vm-0"}}};
    const auto teams = make_teams(state.range(0));
    limiter.configure(teams, 26, clock.now());
    auto it = teams.begin();
    for (auto _ : state) {
        clock.advance(1us);
        benchmark::DoNotOptimize(limiter.admit(it->first, {1, 900, 0.01}, clock.now()));
        it = std::next(it) == teams.end() ? teams.begin() : std::next(it);
    }
}
BENCHMARK(admit_by_teams)->ArgName("teams")->Arg(10)->Arg(100)->Arg(1000);

void allocate_by_vms_and_teams(benchmark::State& state)
{
    manual_clock clock;
    share_allocator allocator{{}};
    allocator.start(clock.now());
    const auto teams = make_teams(state.range(1));
    allocator.configure(teams, clock.now());
    for (auto _ : state) {
        clock.advance(1s);
        for (std::int64_t vm = 0; vm < state.range(0); ++vm) {
            for (const auto& [team, spec] : teams) {
                const limit_amounts demand{5, 4500, 0.05};
                allocator.report({vm_id{"vm-" + std::to_string(vm)}, team, demand, {}, clock.now()},
                                 clock.now());
            }
        }
        benchmark::DoNotOptimize(allocator.allocate(clock.now()));
    }
}
BENCHMARK(allocate_by_vms_and_teams)
    ->ArgNames({"vms", "teams"})
    ->Args({8, 10})
    ->Args({390, 10})
    ->Args({390, 100})
    ->Unit(benchmark::kMillisecond);

void queue_by_teams_and_waiting(benchmark::State& state)
{
    manual_clock clock;
    admission_queue queue{{.capacity = 4096, .concurrency = 1, .team_capacity_share = 1}};
    std::uint64_t token = 0;
    const auto offer = [&] {
        ++token;
        const auto team = static_cast<std::int64_t>(token) % state.range(0);
        const queue_entry entry{token, team_name(team), request_class::short_request,
                                clock.now() + 10h, 1s};
        benchmark::DoNotOptimize(queue.offer(entry, clock.now()));
    };
    for (std::int64_t i = 0; i < state.range(1); ++i) {
        offer();
    }
    for (auto _ : state) {
        offer();
        const auto entry = queue.next(clock.now());
        queue.finished(*entry, 1s);
    }
}
BENCHMARK(queue_by_teams_and_waiting)
    ->ArgNames({"teams", "waiting"})
    ->ArgsProduct({{10, 100}, {10, 200, 1000}});

} // namespace
} // namespace wagtailhitch
