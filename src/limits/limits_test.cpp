#include "limits/share_allocator.hpp"
#include "limits/team_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>
#include <vector>

namespace wagtailhitch {
namespace {

const team_id team{"bulletins"};
constexpr limit_amounts one_request{1, 100, 0.01};

std::map<team_id, team_spec> make_teams(double requests_per_second)
{
    team_spec spec;
    spec.limits = {requests_per_second, requests_per_second * 100 * 60,
                   requests_per_second * 0.01 * 3600};
    return {{team, spec}};
}

vm_id name(std::size_t i)
{
    return vm_id{"vm-" + std::to_string(i)};
}

class team_limiter_test : public testing::Test {
protected:
    void SetUp() override { limiter_.configure(make_teams(100), 5, clock_.now()); }
    int admitted(int offered)
    {
        int count = 0;
        for (int i = 0; i < offered; ++i) {
            count += limiter_.admit(team, one_request, clock_.now()) ? 1 : 0;
        }
        return count;
    }
    share_grant make_grant(double requests, time_point asked_at) const
    {
        return {name(0), team, {requests, requests * 100, requests * 0.01}, asked_at, 5s};
    }

    manual_clock clock_;
    team_limiter limiter_{{.vm = name(0)}};
};

// Guards against a VM that admits nothing, or everything, while no VM holds the `limit-shares`
// duty.
TEST_F(team_limiter_test, floor_is_available_without_a_grant)
{
    EXPECT_EQ(admitted(100), 4) << "100/s x 20% / 5 VMs x 1 s";
    clock_.advance(1s);
    EXPECT_EQ(admitted(100), 4);
}

// Guards against a grant that stays in effect after its term, for example after a pause of this VM,
// and against applying grants that are delayed, repeated out of order or addressed to other VMs.
TEST_F(team_limiter_test, grant_holds_for_its_term_from_the_request)
{
    const time_point requested_at = clock_.now();
    clock_.advance(1s);
    limiter_.grant(make_grant(50, requested_at), clock_.now());
    EXPECT_EQ(limiter_.rates(team, clock_.now()).requests, 54);
    limiter_.grant(make_grant(90, requested_at - 1s), clock_.now());
    EXPECT_EQ(limiter_.rates(team, clock_.now()).requests, 54) << "an older grant was applied";
    clock_.advance(4s);
    EXPECT_EQ(limiter_.rates(team, clock_.now()).requests, 4);
    limiter_.grant(make_grant(50, requested_at), clock_.now());
    EXPECT_EQ(limiter_.rates(team, clock_.now()).requests, 4) << "an expired grant was applied";
    share_grant other = make_grant(50, clock_.now());
    other.vm = name(1);
    limiter_.grant(other, clock_.now());
    EXPECT_EQ(limiter_.rates(team, clock_.now()).requests, 4) << "another VM's grant was applied";
}

// Guards against errors that do not tell which limit is exhausted and when to retry.
TEST_F(team_limiter_test, errors_have_a_code_and_retry_after)
{
    struct limit_case {
        limit_amounts estimate;
        error_code code;
    };
    const std::vector<limit_case> cases{
        {{5, 0, 0}, error_code::team_rate_limited},
        {{0, 500, 0}, error_code::team_rate_limited},
        {{0, 0, 0.05}, error_code::team_spend_limited},
    };
    for (const auto& item : cases) {
        SetUp();
        team_limiter limiter{{.vm = name(0)}};
        limiter.configure(make_teams(100), 5, clock_.now());
        ASSERT_TRUE(limiter.admit(team, item.estimate, clock_.now()));
        const auto refused = limiter.admit(team, item.estimate, clock_.now());
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().code, item.code);
        EXPECT_EQ(refused.error().run, run_state::not_run);
        ASSERT_TRUE(refused.error().retry_after.has_value());
        clock_.advance(*refused.error().retry_after + 1us);
        EXPECT_TRUE(limiter.admit(team, item.estimate, clock_.now()))
            << "retry_after was too short for " << name_of(item.code);
    }
    EXPECT_EQ(limiter_.admit(team_id{"nobody"}, one_request, clock_.now()).error().code,
              error_code::unknown_team);
}

// Guards against responses that exceed their estimate without being charged to the limit.
TEST_F(team_limiter_test, settling_charges_the_difference)
{
    ASSERT_TRUE(limiter_.admit(team, one_request, clock_.now()));
    limiter_.settle(team, one_request, {1, 1100, 0.01}, clock_.now());
    clock_.advance(1s);
    EXPECT_EQ(admitted(1), 0) << "1100 tokens at 400 per second were refilled within 1 s";
    clock_.advance(2s);
    EXPECT_EQ(admitted(1), 1);
}

// Simulates a deployment with partitions, pauses of the holder and of other VMs, and lost and late
// messages. All components use one clock; VMs in `paused_` process nothing until they resume.
class share_simulation {
public:
    static constexpr std::size_t vm_count = 5;
    static constexpr double limit = 100;

    explicit share_simulation(std::uint64_t seed) : generator_{seed}
    {
        for (std::size_t i = 0; i < vm_count; ++i) {
            limiters_.emplace_back(limiter_settings{.vm = name(i)});
            limiters_.back().configure(make_teams(limit), vm_count, clock_.now());
        }
        become_holder(0);
    }
    void step()
    {
        clock_.advance(std::chrono::milliseconds{draw(400)});
        if (draw(25) == 0) {
            partitioned_[draw(vm_count)] = draw(2) == 0;
        }
        if (draw(25) == 0) {
            paused_[draw(vm_count)] = draw(2) == 0;
        }
        // Models a lease: the successor starts after the lease of the previous holder has ended.
        if (paused_[holder_] && draw(10) == 0) {
            become_holder(draw(vm_count));
        }
        report();
        deliver();
        load();
    }
    // Sum of the current rates of all VMs, including paused and partitioned ones.
    double sum_of_current_rates() const
    {
        double sum = 0;
        for (const auto& limiter : limiters_) {
            sum += limiter.rates(team, clock_.now()).requests;
        }
        return sum;
    }
    double admitted() const { return admitted_; }
    double elapsed() const
    {
        return std::chrono::duration<double>(clock_.now() - manual_clock{}.now()).count();
    }

private:
    std::size_t draw(std::size_t n) { return generator_() % n; }
    void become_holder(std::size_t vm)
    {
        holder_ = vm;
        allocator_ = share_allocator{{}};
        allocator_.start(clock_.now());
        allocator_.configure(make_teams(limit), clock_.now());
    }
    void report()
    {
        for (std::size_t i = 0; i < vm_count; ++i) {
            for (const auto& request : limiters_[i].share_requests(clock_.now())) {
                if (!paused_[i] && !partitioned_[i] && !paused_[holder_]) {
                    allocator_.report(request, clock_.now());
                }
            }
        }
        if (!paused_[holder_]) {
            for (const auto& grant : allocator_.allocate(clock_.now())) {
                in_flight_.push_back(grant);
            }
        }
    }
    // Grants may be reordered, delayed, duplicated or lost.
    void deliver()
    {
        for (std::size_t n = in_flight_.size(); n > 0; --n) {
            const share_grant grant = in_flight_.front();
            in_flight_.pop_front();
            const std::size_t delivery_outcome = draw(6);
            for (std::size_t i = 0; i < vm_count; ++i) {
                if (grant.vm == name(i) && delivery_outcome > 1 && !paused_[i]) {
                    limiters_[i].grant(grant, clock_.now());
                }
            }
            if (delivery_outcome < 1 || delivery_outcome == 5) {
                in_flight_.push_back(grant);
            }
        }
    }
    void load()
    {
        for (std::size_t i = 0; i < vm_count; ++i) {
            const std::size_t offered = paused_[i] ? 0 : draw(60);
            for (std::size_t n = 0; n < offered; ++n) {
                admitted_ += limiters_[i].admit(team, one_request, clock_.now()) ? 1 : 0;
            }
        }
    }

    std::mt19937_64 generator_;
    manual_clock clock_;
    std::vector<team_limiter> limiters_;
    share_allocator allocator_{{}};
    std::size_t holder_{0};
    std::array<bool, vm_count> paused_{};
    std::array<bool, vm_count> partitioned_{};
    std::deque<share_grant> in_flight_;
    double admitted_{0};
};

class share_allocator_test : public testing::Test {
protected:
    share_allocator_test()
    {
        allocator_.start(clock_.now());
        allocator_.configure(make_teams(100), clock_.now());
    }
    std::vector<share_grant> report_and_allocate(double demand)
    {
        const limit_amounts floor{4, 400, 0.04};
        const limit_amounts wanted{demand, demand * 100, demand * 0.01};
        for (std::size_t i = 0; i < 5; ++i) {
            allocator_.report({name(i), team, wanted, floor, clock_.now()}, clock_.now());
        }
        return allocator_.allocate(clock_.now());
    }

    manual_clock clock_;
    share_allocator allocator_{{}};
};

// Guards against shares that exceed a limit when the holder or other VMs pause or are partitioned.
// The slack for admitted requests covers the initial bursts: one second of the floors and one
// request per VM.
RC_GTEST_FIXTURE_PROP(share_allocator_test, shares_in_force_never_exceed_the_limit, ())
{
    share_simulation simulation{*rc::gen::arbitrary<std::uint64_t>()};
    const double slack = share_simulation::limit * 0.2 + share_simulation::vm_count;
    double highest = 0;
    for (int i = 0; i < 300; ++i) {
        simulation.step();
        highest = std::max(highest, simulation.sum_of_current_rates());
    }
    RC_ASSERT(highest <= share_simulation::limit * (1 + 1e-9));
    const double bound = share_simulation::limit * simulation.elapsed() + slack;
    RC_ASSERT(simulation.admitted() <= bound);
    RC_CLASSIFY(highest > share_simulation::limit * 0.9);
}

// Guards against a new holder that makes grants while shares of the previous holder are valid.
TEST_F(share_allocator_test, new_holder_makes_no_grants_for_one_term)
{
    EXPECT_TRUE(report_and_allocate(50).empty());
    clock_.advance(5s);
    EXPECT_TRUE(report_and_allocate(50).empty())
        << "the holder did not wait for the clock drift allowance";
    clock_.advance(50ms);
    EXPECT_EQ(report_and_allocate(50).size(), 5U);
}

// Guards against leaving part of a limit unused while VMs with higher demand refuse requests, and
// against an even split that ignores demand.
TEST_F(share_allocator_test, small_demands_are_met_and_the_rest_is_divided)
{
    clock_.advance(6s);
    const limit_amounts floor{4, 400, 0.04};
    allocator_.report({name(0), team, {5, 0, 0}, floor, clock_.now()}, clock_.now());
    allocator_.report({name(1), team, {500, 0, 0}, floor, clock_.now()}, clock_.now());
    const auto grants = allocator_.allocate(clock_.now());
    ASSERT_EQ(grants.size(), 2U);
    EXPECT_NEAR(grants[0].share.requests, 2, 1e-9) << "5/s x 1.2 less the floor";
    EXPECT_NEAR(grants[1].share.requests, 78, 1e-9);
    EXPECT_NEAR(allocator_.outstanding(team, clock_.now()).requests, 100, 1e-9);
}

} // namespace
} // namespace wagtailhitch
