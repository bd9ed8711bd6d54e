#include "billing/bill_buffer.hpp"
#include "billing/bill_ledger.hpp"
#include "claim/claim_flow.hpp"
#include "claim/claim_table.hpp"
#include "lease/lease_elector.hpp"
#include "session/session_policy.hpp"
#include "session/session_token.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <random>

// Time and memory of claims, bills, sessions and leases at 1, 4 and 16 times a base size. The
// counters named bytes_* are measured by the allocator, except bytes_accounted.

namespace wagtailhitch {
namespace {

constexpr std::int64_t wall = 1'700'000'000'000;
constexpr std::size_t claims_per_record = 32;

double allocated_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

claim_batch random_claims(std::mt19937_64& generator, std::uint64_t& sequence)
{
    claim_batch batch{sequence, {}};
    for (std::size_t i = 0; i < claims_per_record; ++i) {
        const auto vm = "sierra-a-" + std::to_string(generator() % 26);
        batch.items.emplace_back(claim_record{{generator(), generator()},
                                              generator(),
                                              {vm_id{vm}, 1'700'000'000'000'000, ++sequence},
                                              wall});
    }
    return batch;
}

// Applies a record of 32 claims to a table that holds `range` claims.
void fold_claims(benchmark::State& state)
{
    std::mt19937_64 generator{42};
    std::uint64_t sequence = 0;
    const auto before = allocated_bytes();
    claim_table table{{}};
    while (table.size() < static_cast<std::size_t>(state.range(0))) {
        table.apply(table.next_offset(), random_claims(generator, sequence), wall);
    }
    const auto size = static_cast<double>(table.size());
    state.counters["bytes_per_claim"] = (allocated_bytes() - before) / size;
    state.counters["bytes_accounted"] = static_cast<double>(table.claim_memory_bytes()) / size;
    std::vector<std::string> records;
    for (std::size_t i = 0; i < 64; ++i) {
        records.push_back(encode_claim_batch(random_claims(generator, sequence)));
    }
    state.counters["bytes_on_log"] =
        static_cast<double>(records.front().size()) / claims_per_record;
    std::size_t next = 0;
    for (auto _ : state) {
        // After the first round the claims are duplicates, which are looked up and dropped.
        const auto batch = decode_claim_batch(records[next++ % records.size()]);
        benchmark::DoNotOptimize(table.apply(table.next_offset(), *batch, wall));
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(claims_per_record));
}
BENCHMARK(fold_claims)->Arg(100'000)->Arg(400'000)->Arg(1'600'000);

void find_claim(benchmark::State& state)
{
    std::mt19937_64 generator{42};
    std::uint64_t sequence = 0;
    claim_table table{{}};
    std::vector<claim_key> keys;
    while (table.size() < static_cast<std::size_t>(state.range(0))) {
        const auto batch = random_claims(generator, sequence);
        keys.push_back(std::get<claim_record>(batch.items.front()).key);
        table.apply(table.next_offset(), batch, wall);
    }
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find(keys[next++ * 7919 % keys.size()]));
    }
}
BENCHMARK(find_claim)->Arg(100'000)->Arg(400'000)->Arg(1'600'000);

// Processes one request with an idempotency key from arrival to outcome, without the log.
void run_claim_flow(benchmark::State& state)
{
    manual_clock clock;
    claim_table table{{}};
    const claims_confirmation log{clock.now()};
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        const request_id request{vm_id{"a-1"}, 1, ++sequence};
        claim_flow flow{{team_id{"cafes"}, std::to_string(sequence), sequence, request, false,
                         clock.now(), clock.now() + 10s},
                        {}};
        const auto submitted = flow.start(table, log, clock.now(), wall);
        table.apply(table.next_offset(), {1, {submitted.claim}}, wall);
        benchmark::DoNotOptimize(flow.advance(table, log, clock.now()));
        benchmark::DoNotOptimize(flow.answered(200, "text/plain", "ok"));
    }
}
BENCHMARK(run_claim_flow)->Iterations(200'000);

bill make_bill(const process_id& by, std::uint64_t sequence)
{
    return {{by.vm, by.run, sequence},
            team_id{"team-" + std::to_string(sequence % 10)},
            bill_outcome::answered,
            {{version_id{"narrator-3"}, upstream_id{"sierra-a-17"}, 1200, 340, 4711}}};
}

// Creates a bill and sends its two copies while `range` bills wait for the log.
void add_bill(benchmark::State& state)
{
    manual_clock clock;
    const process_id self{vm_id{"sierra-a-1"}, 1'700'000'000'000'000};
    const auto before = allocated_bytes();
    bill_buffer buffer{self, {}};
    buffer.set_peers({{vm_id{"sierra-a-2"}, 1}, {vm_id{"sierra-a-3"}, 1}});
    std::uint64_t sequence = 0;
    const auto step = [&] {
        buffer.add(make_bill(self, ++sequence), clock.now());
        clock.advance(5ms);
        std::vector<bill_output> acks;
        for (const auto& out : buffer.tick(clock.now())) {
            if (const auto* copy = std::get_if<bill_copy_batch>(&out)) {
                buffer.on_ack(copy->to, copy->id, acks);
            }
        }
    };
    while (buffer.own() < static_cast<std::size_t>(state.range(0))) {
        step();
    }
    const auto count = static_cast<double>(buffer.own());
    state.counters["bytes_per_bill"] = (allocated_bytes() - before) / count;
    state.counters["bytes_accounted"] = static_cast<double>(buffer.bytes()) / count;
    state.counters["bytes_encoded"] =
        static_cast<double>(encode_bill(make_bill(self, 1'000'000)).size());
    for (auto _ : state) {
        step();
    }
}
BENCHMARK(add_bill)->Arg(10'000)->Arg(40'000)->Arg(160'000)->Iterations(20'000);

void fold_bill(benchmark::State& state)
{
    const process_id by{vm_id{"sierra-a-1"}, 1'700'000'000'000'000};
    bill_ledger ledger;
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        const auto read = decode_bill(encode_bill(make_bill(by, ++sequence)));
        ledger.apply(sequence, {*read});
    }
}
BENCHMARK(fold_bill);

void verify_session(benchmark::State& state)
{
    const std::string key(32, 'k');
    const session_token token{team_id{"bulletins"},
                              "sierra-a-1/1/42",
                              model_id{"narrator"},
                              version_id{"narrator-3"},
                              812,
                              wall};
    const auto text = issue_session_token(key, token);
    state.counters["bytes_token"] = static_cast<double>(text.size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(verify_session_token(key, text));
    }
}
BENCHMARK(verify_session);

// Chooses a version among `range` versions of one model.
void choose_version(benchmark::State& state)
{
    document doc;
    const model_id model{"narrator"};
    const team_id team{"bulletins"};
    doc.teams[team].allowed = {"narrator"};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        auto& spec = doc.models[model].versions[version_id{"narrator-" + std::to_string(i)}];
        spec.state = i == 0 ? version_state::rolling : version_state::settled;
    }
    const session_policy policy{{}, [](const auto&, const auto&) { return 500U; }};
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            policy.choose({team, model, std::nullopt, "session-17", ""}, doc, {1, 0s}));
    }
}
BENCHMARK(choose_version)->Arg(3)->Arg(12)->Arg(48);

// Applies one lease renewal and decides as one of `range` contenders.
void step_lease(benchmark::State& state)
{
    manual_clock clock;
    lease_table table;
    std::vector<vm_id> candidates;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        candidates.emplace_back("sierra-a-" + std::to_string(i));
    }
    const process_id holder{vm_id{"sierra-a-0"}, 1};
    lease_elector elector{"rollout", {vm_id{"sierra-a-1"}, 1}, {}};
    lease_record record{lease_operation::acquire, "rollout", holder, 0, 0, 1};
    table.apply(0, record);
    for (auto _ : state) {
        const auto offset = table.next_offset();
        record = {lease_operation::renew, "rollout", holder, offset, 1, offset};
        const auto read = decode_lease_record(encode_lease_record(record));
        elector.on_record(offset, *read, table.apply(offset, *read), clock.now());
        benchmark::DoNotOptimize(elector.tick(table, candidates, clock.now()));
    }
    state.counters["bytes_record"] = static_cast<double>(encode_lease_record(record).size());
}
BENCHMARK(step_lease)->Arg(26)->Arg(104)->Arg(416);

} // namespace
} // namespace wagtailhitch
