#include "membership/vm_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

const failure_domain_id domain_a{"sierra-a"};
const failure_domain_id domain_b{"sierra-b"};

vm_gossip gossip_entry(const std::string& vm, incarnation run, std::uint64_t sequence,
                       bool left = false)
{
    return {{vm_id{vm}, run}, "127.0.0.1:1", domain_a, sequence, left};
}

class vm_table_test : public testing::Test {
protected:
    vm_state state_of(const std::string& vm) { return table_.find(vm_id{vm})->state; }
    // Ticks as often as production code does, so that no gap is taken for a pause of this process.
    void advance(duration by)
    {
        for (duration done{}; done < by; done += 100ms) {
            clock_.advance(100ms);
            table_.tick(clock_.now());
        }
    }

    manual_clock clock_;
    vm_table table_{{vm_id{"a1"}, 10}, "127.0.0.1:1", domain_a, {}};
};

TEST_F(vm_table_test, silent_vm_is_suspected_before_it_is_removed)
{
    table_.apply_gossip({gossip_entry("a2", 5, 1)}, clock_.now());
    EXPECT_EQ(state_of("a2"), vm_state::alive);
    advance(3s);
    EXPECT_EQ(state_of("a2"), vm_state::suspect);
    EXPECT_FALSE(table_.is_dead({vm_id{"a2"}, 5}));
    advance(7s);
    EXPECT_EQ(state_of("a2"), vm_state::removed);
    EXPECT_TRUE(table_.is_dead({vm_id{"a2"}, 5}));
}

// Guards against delayed gossip that revives a removed VM.
TEST_F(vm_table_test, removed_incarnation_is_not_revived_by_gossip)
{
    table_.apply_gossip({gossip_entry("a2", 5, 1)}, clock_.now());
    advance(11s);
    advance(11s);
    table_.apply_gossip({gossip_entry("a2", 5, 900)}, clock_.now());
    EXPECT_EQ(state_of("a2"), vm_state::removed);
    table_.apply_gossip({gossip_entry("a2", 6, 1)}, clock_.now());
    EXPECT_EQ(state_of("a2"), vm_state::alive);
}

// Guards against claims of a restarted VM staying open: a new process proves that the old one
// ended.
TEST_F(vm_table_test, new_incarnation_ends_the_old_one_at_once)
{
    table_.apply_gossip({gossip_entry("a2", 5, 70)}, clock_.now());
    table_.apply_gossip({gossip_entry("a2", 6, 1)}, clock_.now());
    EXPECT_TRUE(table_.is_dead({vm_id{"a2"}, 5}));
    EXPECT_FALSE(table_.is_dead({vm_id{"a2"}, 6}));
    EXPECT_EQ(state_of("a2"), vm_state::alive);
}

// Guards against a VM that stops gracefully being kept for the whole silence period.
TEST_F(vm_table_test, vm_that_left_is_final_without_silence)
{
    table_.apply_gossip({gossip_entry("a2", 5, 1)}, clock_.now());
    table_.apply_gossip({gossip_entry("a2", 5, 2, true)}, clock_.now());
    EXPECT_EQ(state_of("a2"), vm_state::left);
    table_.apply_gossip({gossip_entry("a2", 5, 3)}, clock_.now());
    EXPECT_EQ(state_of("a2"), vm_state::left);
}

// Guards against the lagging VM list removing a VM that still sends heartbeats.
TEST_F(vm_table_test, vm_missing_from_the_list_stays_while_it_is_heard)
{
    table_.apply_gossip({gossip_entry("a2", 5, 1)}, clock_.now());
    for (std::uint64_t n = 2; n < 20; ++n) {
        table_.apply_vm_list({}, clock_.now());
        advance(1s);
        table_.apply_gossip({gossip_entry("a2", 5, n)}, clock_.now());
        ASSERT_EQ(state_of("a2"), vm_state::alive);
    }
}

TEST_F(vm_table_test, unlisted_silent_vm_is_removed_early)
{
    table_.apply_gossip({gossip_entry("a2", 5, 1)}, clock_.now());
    table_.apply_vm_list({}, clock_.now());
    advance(3s);
    advance(100ms);
    EXPECT_EQ(state_of("a2"), vm_state::removed);
}

// Guards against a VM that was frozen and, when it resumes, considers all others silent.
TEST_F(vm_table_test, vm_resumed_after_a_pause_removes_nobody)
{
    table_.tick(clock_.now());
    table_.apply_gossip({gossip_entry("a2", 5, 1)}, clock_.now());
    clock_.advance(60s);
    EXPECT_TRUE(table_.tick(clock_.now()).empty());
    EXPECT_EQ(state_of("a2"), vm_state::alive);
    advance(10s);
    EXPECT_EQ(state_of("a2"), vm_state::removed);
}

// Guards against a whole failure domain restarting when a partition between regions heals.
TEST_F(vm_table_test, listed_vm_of_another_domain_is_only_suspected_for_silence)
{
    vm_gossip remote{{vm_id{"b1"}, 5}, "127.0.0.1:1", domain_b, 1, false};
    table_.apply_vm_list({{{vm_id{"b1"}, "127.0.0.1:1", domain_b, vm_list_state::live}}},
                         clock_.now());
    table_.apply_gossip({remote}, clock_.now());
    advance(60s);
    EXPECT_EQ(state_of("b1"), vm_state::suspect);
    table_.apply_vm_list({}, clock_.now());
    advance(1s);
    EXPECT_EQ(state_of("b1"), vm_state::removed);
}

// Guards against VMs that know each other only from the list and never exchange heartbeats.
TEST_F(vm_table_test, listed_vm_gets_heartbeats_before_it_was_heard)
{
    std::mt19937_64 generator{1};
    table_.apply_vm_list({{{vm_id{"a2"}, "127.0.0.1:2", domain_a, vm_list_state::live},
                           {vm_id{"b1"}, "127.0.0.1:3", domain_b, vm_list_state::live}}},
                         clock_.now());
    const auto targets = table_.heartbeat_targets(generator);
    ASSERT_EQ(targets.size(), 1U);
    EXPECT_EQ(targets[0].process.vm, vm_id{"a2"});
    const auto gateways = table_.summary_targets();
    ASSERT_EQ(gateways.size(), 1U);
    EXPECT_EQ(gateways[0].process.vm, vm_id{"b1"});
}

// Guards against heartbeat traffic that grows with the size of the failure domain.
TEST_F(vm_table_test, large_domain_gets_a_fixed_number_of_heartbeats)
{
    std::mt19937_64 generator{1};
    for (int i = 2; i <= 26; ++i) {
        table_.apply_gossip({gossip_entry("a" + std::to_string(i), 1, 1)}, clock_.now());
    }
    EXPECT_EQ(table_.heartbeat_targets(generator).size(), 3U);
}

// Guards against repeated or outdated gossip, in any order, that restores an older incarnation or
// revives one that left.
RC_GTEST_PROP(vm_table_property, gossip_in_any_order_never_revives_an_old_incarnation, ())
{
    manual_clock clock;
    vm_table table{{vm_id{"a1"}, 10}, "127.0.0.1:1", domain_a, {}};
    incarnation highest = 0;
    incarnation highest_final = 0;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        const auto run = *rc::gen::inRange<incarnation>(1, 5);
        const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 9);
        const bool left = *rc::gen::inRange(0, 6) == 0;
        table.apply_gossip({gossip_entry("a2", run, sequence, left)}, clock.now());
        clock.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 6000)});
        for (const auto& change : table.tick(clock.now())) {
            if (change.to == vm_state::removed) {
                highest_final = std::max(highest_final, change.process.run);
            }
        }
        const auto* record = table.find(vm_id{"a2"});
        RC_ASSERT(record->process.run >= highest);
        highest = record->process.run;
        RC_ASSERT(record->state != vm_state::alive || record->process.run > highest_final);
    }
}

} // namespace
} // namespace wagtailhitch
