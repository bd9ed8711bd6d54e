#include "rollout/stepper.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace wagtailhitch {
namespace {

using testing::HasSubstr;

const version_id version{"narrator-4"};

version_counts counts(std::uint64_t answers, std::uint64_t errors, std::uint64_t slow,
                      std::uint64_t ratings, double insufficient)
{
    return {answers, errors, slow, ratings, insufficient};
}

rollout_inputs inputs_at_step(std::uint32_t step)
{
    rollout_inputs out;
    out.version = version;
    out.spec.state = version_state::rolling;
    out.spec.rollout = {{100, 10, 60s}, {2500, 100, 60s}, {10000, 0, 0s}};
    out.progress.step = step;
    out.declared_quality = 0.9;
    out.baseline = counts(2000, 10, 50, 1000, 100);
    out.capacity_ready = true;
    out.fencing = 7;
    return out;
}

class rollout_stepper_test : public testing::Test {
protected:
    std::optional<rollout_record> decide(const rollout_inputs& inputs)
    {
        return stepper_.decide(inputs, clock_.now());
    }

    manual_clock clock_;
    rollout_stepper stepper_{vm_id{"a-1"}};
};

struct evidence_case {
    std::string name;
    version_counts fresh;
    bool halt;
};

// Guards against continuing with a bad version, and against halting a good one for one bad answer.
TEST_F(rollout_stepper_test, evidence_halts_only_versions_that_are_worse)
{
    const std::vector<evidence_case> cases{
        {"nothing", {}, false},
        {"one bad rating", counts(1, 0, 0, 1, 1), false},
        {"as the baseline", counts(2000, 10, 50, 1000, 100), false},
        {"slightly worse", counts(2000, 20, 80, 1000, 120), false},
        {"bad ratings", counts(200, 0, 0, 100, 40), true},
        {"errors", counts(100, 30, 0, 0, 0), true},
        {"slow", counts(200, 0, 80, 0, 0), true},
        {"only errors at once", counts(5, 5, 0, 0, 0), true},
    };
    const auto inputs = inputs_at_step(1);
    for (const auto& c : cases) {
        const auto verdict =
            evaluate_evidence(c.fresh, inputs.baseline, inputs.declared_quality, {});
        EXPECT_EQ(verdict.halt, c.halt) << c.name << ": " << verdict.reason;
    }
}

// Guards against advancing before a stage's conditions are met, without the lease or without
// enough replicas.
TEST_F(rollout_stepper_test, unmet_condition_prevents_the_step)
{
    auto inputs = inputs_at_step(1);
    EXPECT_FALSE(decide(inputs));
    EXPECT_THAT(stepper_.blocking_reason(inputs, clock_.now()), HasSubstr("minimum time"));
    clock_.advance(60s);
    EXPECT_FALSE(decide(inputs));
    EXPECT_THAT(stepper_.blocking_reason(inputs, clock_.now()), HasSubstr("number of ratings"));
    inputs.fresh = counts(1000, 0, 0, 10, 1);
    EXPECT_FALSE(decide(inputs));
    EXPECT_THAT(stepper_.blocking_reason(inputs, clock_.now()),
                HasSubstr("Fewer answers are rated"));
    inputs.fresh = counts(20, 0, 0, 10, 1);
    inputs.capacity_ready = false;
    EXPECT_FALSE(decide(inputs));
    EXPECT_THAT(stepper_.blocking_reason(inputs, clock_.now()), HasSubstr("replicas"));
    inputs.capacity_ready = true;
    inputs.fencing.reset();
    EXPECT_FALSE(decide(inputs));
    inputs.fencing = 9;
    const auto record = decide(inputs);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->kind, rollout_record_kind::step);
    EXPECT_EQ(record->step, 2U);
    EXPECT_EQ(record->fencing, 9U);
}

// Guards against a roll-out that stops permanently because one append was lost.
TEST_F(rollout_stepper_test, record_is_repeated_until_the_fold_shows_it)
{
    const auto inputs = inputs_at_step(0);
    EXPECT_TRUE(decide(inputs));
    EXPECT_FALSE(decide(inputs));
    clock_.advance(5s);
    EXPECT_TRUE(decide(inputs));
}

// Guards against a halt that depends on the lease holder: any VM must be able to halt.
TEST_F(rollout_stepper_test, vm_without_authority_halts_a_bad_version)
{
    auto inputs = inputs_at_step(2);
    inputs.fencing.reset();
    inputs.fresh = counts(100, 30, 0, 0, 0);
    const auto record = decide(inputs);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->kind, rollout_record_kind::halt);
    EXPECT_THAT(record->reason, HasSubstr("errors"));
    inputs.progress.halted = true;
    clock_.advance(60s);
    EXPECT_FALSE(decide(inputs));
}

// Guards against counts that decrease or are added twice when reports arrive late.
TEST_F(rollout_stepper_test, pool_keeps_the_latest_counts_of_each_process)
{
    evidence_pool pool;
    const process_id a{vm_id{"a"}, 1};
    pool.set(a, version, counts(10, 1, 0, 4, 2));
    pool.set(a, version, counts(8, 1, 0, 3, 1));
    pool.set({vm_id{"a"}, 2}, version, counts(5, 0, 0, 1, 0));
    EXPECT_EQ(pool.total(version), counts(15, 1, 0, 5, 2));
    EXPECT_EQ(pool.total(version_id{"other"}), version_counts{});
}

TEST_F(rollout_stepper_test, cheap_and_quickly_rated_classes_are_exposed_first)
{
    const std::vector<exposure_class> classes{
        {"report", 0.2, 1h, 5}, {"brief", 0.5, 1min, 0}, {"question", 0.3, 10min, 1}};
    using shares = std::map<std::string, std::uint32_t>;
    EXPECT_EQ(exposed_shares_by_class(classes, 2500),
              (shares{{"brief", 5000}, {"question", 0}, {"report", 0}}));
    EXPECT_EQ(exposed_shares_by_class(classes, 6500),
              (shares{{"brief", 10000}, {"question", 5000}, {"report", 0}}));
    EXPECT_EQ(exposed_shares_by_class(classes, 10000),
              (shares{{"brief", 10000}, {"question", 10000}, {"report", 10000}}));
}

// Guards against loads that overload the weight store, and against a failure domain without the
// version.
TEST_F(rollout_stepper_test, loads_spread_over_domains_within_the_rate)
{
    std::vector<load_candidate> replicas;
    for (const std::string name : {"a-1", "a-2", "a-3", "b-1", "b-2"}) {
        replicas.push_back({upstream_id{name}, failure_domain_id{name.substr(0, 1)}});
    }
    replicas[0].running = 4;
    load_planner planner{2s, 2};
    EXPECT_FALSE(has_coverage(replicas, 100));
    EXPECT_EQ(planner.next(replicas, 5000, clock_.now()), upstream_id{"a-2"});
    EXPECT_FALSE(planner.next(replicas, 5000, clock_.now()));
    replicas[1].loading = true;
    clock_.advance(2s);
    EXPECT_EQ(planner.next(replicas, 5000, clock_.now()), upstream_id{"b-1"});
    replicas[3].loading = true;
    clock_.advance(2s);
    EXPECT_FALSE(planner.next(replicas, 5000, clock_.now()));
    replicas[1].holds = true;
    replicas[3].holds = true;
    EXPECT_TRUE(has_coverage(replicas, 3000));
    EXPECT_FALSE(has_coverage(replicas, 5000));
    EXPECT_EQ(planner.next(replicas, 5000, clock_.now()), upstream_id{"a-3"});
}

// Guards against any order of evidence, steps and changes of the lease holder that exposes a halted
// version again.
RC_GTEST_FIXTURE_PROP(rollout_stepper_test, no_history_raises_the_share_after_a_halt,
                      (std::uint64_t seed))
{
    std::mt19937_64 random{seed};
    rollout_fold fold;
    std::vector<rollout_stepper> vms;
    for (const auto* name : {"a", "b", "c"}) {
        vms.emplace_back(vm_id{name});
    }
    auto inputs = inputs_at_step(0);
    std::vector<std::string> in_flight;
    log_offset offset = 0;
    bool halted = false;
    for (int i = 0; i < 200; ++i) {
        clock_.advance(std::chrono::seconds{random() % 90});
        const auto n = random() % 40;
        const auto bad_share = random() % 3 == 0 ? 0.4 : 0.1;
        inputs.fresh += counts(n, 0, 0, n, bad_share * static_cast<double>(n));
        const auto* progress = fold.find(version);
        inputs.progress = progress == nullptr ? rollout_progress{} : *progress;
        // For a while, two VMs may both assume that they hold the lease.
        inputs.fencing = random() % 4 == 0 ? std::nullopt : std::optional{random() % 5};
        if (auto record = vms[random() % vms.size()].decide(inputs, clock_.now())) {
            in_flight.push_back(encode_rollout_record(*record));
        }
        std::ranges::shuffle(in_flight, random);
        while (!in_flight.empty() && random() % 2 == 0) {
            const auto before = fold.exposed_basis_points(version, inputs.spec);
            fold.apply(offset++, in_flight.back());
            in_flight.pop_back();
            halted = halted || fold.find(version)->halted;
            const auto after = fold.exposed_basis_points(version, inputs.spec);
            const bool share_is_valid = halted ? after == 0 : after >= before;
            RC_ASSERT(share_is_valid);
        }
    }
}

} // namespace
} // namespace wagtailhitch
