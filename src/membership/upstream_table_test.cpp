#include "membership/upstream_table.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

const failure_domain_id domain{"sierra-a"};
const upstream_id engine{"e1"};

class upstream_table_test : public testing::Test {
protected:
    upstream_table_test()
    {
        upstream_spec spec;
        spec.failure_domain = domain;
        spec.address = "127.0.0.1:9";
        spec.slots = 8;
        table_.set_upstreams({{engine, spec}}, clock_.now());
        other_.set_upstreams({{engine, spec}}, clock_.now());
    }

    probe_result answer(std::uint32_t running = 0, bool leaving = false, std::uint64_t run = 1)
    {
        probe_result out;
        out.upstream = engine;
        out.reachable = true;
        out.leaving = leaving;
        out.run = run;
        out.running = running;
        return out;
    }
    probe_result no_answer()
    {
        probe_result out;
        out.upstream = engine;
        return out;
    }
    upstream_state state() { return table_.records().at(engine).state; }

    manual_clock clock_;
    upstream_table table_{vm_id{"a1"}, domain, {}};
    upstream_table other_{vm_id{"a2"}, domain, {}};
};

TEST_F(upstream_table_test, leaving_said_in_an_answer_holds_against_older_knowledge)
{
    table_.apply_probe(answer(), clock_.now());
    other_.apply_probe(answer(), clock_.now());
    EXPECT_EQ(table_.note_leaving(engine, 1).size(), 1U);
    EXPECT_TRUE(table_.note_leaving(engine, 1).empty()) << "Told once.";
    EXPECT_EQ(state(), upstream_state::leaving);
    table_.apply_probe(answer(), clock_.now());
    table_.apply_reports(other_.all_reports(clock_.now()), clock_.now());
    EXPECT_EQ(state(), upstream_state::leaving);
    other_.apply_reports(table_.take_deltas(clock_.now()), clock_.now());
    EXPECT_EQ(other_.records().at(engine).state, upstream_state::leaving);
    table_.apply_probe(answer(0, false, 2), clock_.now());
    EXPECT_EQ(state(), upstream_state::healthy) << "It was started again.";
    EXPECT_TRUE(table_.note_leaving(engine, 1).empty()) << "A late answer of the old process.";
    EXPECT_EQ(state(), upstream_state::healthy);
}

TEST_F(upstream_table_test, leaving_of_an_upstream_without_a_known_incarnation_marks_it)
{
    table_.note_leaving(engine, 0);
    EXPECT_EQ(state(), upstream_state::leaving);
    EXPECT_TRUE(table_.note_leaving(upstream_id{"unknown"}, 1).empty());
}

// Guards against new requests to an upstream that only one other VM has seen leaving.
TEST_F(upstream_table_test, leaving_reported_by_one_peer_stops_new_work_at_once)
{
    table_.apply_probe(answer(), clock_.now());
    other_.apply_probe(answer(0, true), clock_.now());
    ASSERT_EQ(state(), upstream_state::healthy);
    table_.apply_reports(other_.take_deltas(clock_.now()), clock_.now());
    EXPECT_EQ(state(), upstream_state::leaving);
    // A late probe answer from before the announcement must not make it healthy again.
    table_.apply_probe(answer(), clock_.now());
    EXPECT_EQ(state(), upstream_state::leaving);
    table_.apply_probe(answer(0, false, 2), clock_.now());
    EXPECT_EQ(state(), upstream_state::healthy);
}

TEST_F(upstream_table_test, one_lost_probe_only_makes_an_upstream_suspect)
{
    table_.apply_probe(answer(), clock_.now());
    table_.apply_probe(no_answer(), clock_.now());
    EXPECT_EQ(state(), upstream_state::suspect);
    table_.apply_probe(no_answer(), clock_.now());
    EXPECT_EQ(state(), upstream_state::down);
}

// Guards against reports that VMs forward to each other indefinitely.
TEST_F(upstream_table_test, forwarded_report_does_not_circulate)
{
    table_.apply_probe(answer(4), clock_.now());
    auto deltas = table_.take_deltas(clock_.now());
    EXPECT_EQ(deltas.size(), 1U);
    int rounds = 0;
    while (!deltas.empty() && rounds < 10) {
        clock_.advance(5ms);
        other_.apply_reports(deltas, clock_.now());
        deltas = other_.take_deltas(clock_.now());
        table_.apply_reports(deltas, clock_.now());
        deltas = table_.take_deltas(clock_.now());
        ++rounds;
    }
    EXPECT_EQ(rounds, 1) << "Each VM must forward a new report exactly once.";
    EXPECT_EQ(other_.records().at(engine).running, 4U);
}

// Guards against control traffic for changes too small to matter.
TEST_F(upstream_table_test, unchanged_load_step_sends_nothing)
{
    table_.apply_probe(answer(4), clock_.now());
    table_.take_deltas(clock_.now());
    table_.apply_probe(answer(4), clock_.now());
    EXPECT_TRUE(table_.take_deltas(clock_.now()).empty());
}

// Guards against every VM probing every upstream.
TEST_F(upstream_table_test, upstream_is_probed_by_two_vms_of_a_small_domain)
{
    std::vector<process_id> members;
    for (int i = 1; i <= 8; ++i) {
        members.push_back({vm_id{"a" + std::to_string(i)}, 1});
    }
    upstream_spec spec;
    spec.failure_domain = domain;
    std::size_t probes = 0;
    for (const auto& member : members) {
        upstream_table table{member.vm, domain, {}};
        table.set_upstreams({{engine, spec}}, clock_.now());
        probes += table.due_probes(members, clock_.now()).size();
        EXPECT_TRUE(table.due_probes(members, clock_.now()).empty());
    }
    EXPECT_EQ(probes, 2U);
}

} // namespace
} // namespace wagtailhitch
