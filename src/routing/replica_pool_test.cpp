#include "routing/replica_pool.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace wagtailhitch {
namespace {

const version_id version{"n-1"};
const upstream_id first{"u0"};

class replica_pool_test : public testing::Test {
protected:
    void SetUp() override
    {
        upstreams_[first] = spec("127.0.0.1:1");
        upstreams_[upstream_id{"u1"}] = spec("127.0.0.1:2");
        pool_.configure(upstreams_, clock_.now());
        for (const auto& [id, item] : upstreams_) {
            pool_.set_health(id, replica_health::usable, 1, clock_.now());
        }
    }
    static upstream_spec spec(const std::string& address)
    {
        upstream_spec result;
        result.address = address;
        result.failure_domain = failure_domain_id{"ikeja"};
        result.region = region_id{"ng-south"};
        result.versions = {version};
        result.slots = 4;
        return result;
    }
    bool admits() const { return pool_.admits(index_, clock_.now()); }
    void set(replica_health health, std::uint64_t run)
    {
        pool_.set_health(first, health, run, clock_.now());
    }

    manual_clock clock_;
    replica_pool pool_{
        {.failure_domain = failure_domain_id{"ikeja"}, .region = region_id{"ng-south"}}};
    std::map<upstream_id, upstream_spec> upstreams_;
    const replica_index index_{0};
};

// Guards against new requests to an upstream that is leaving: after each sequence of reports, the
// replica must be admitted or not, as given.
TEST_F(replica_pool_test, health_follows_the_reports_of_an_incarnation)
{
    using enum replica_health;
    struct report {
        replica_health health;
        std::uint64_t run;
    };
    struct fault_case {
        const char* name;
        std::vector<report> reports;
        bool admitted;
    };
    const std::vector<fault_case> cases{
        {"leaving, then usable by a slower source", {{leaving, 1}, {usable, 1}}, false},
        {"leaving from a source without an incarnation", {{leaving, 0}, {usable, 1}}, false},
        {"down, then usable while leaving", {{leaving, 1}, {down, 1}, {usable, 1}}, false},
        {"leaving of an older incarnation", {{usable, 2}, {leaving, 1}}, true},
        {"a new incarnation", {{leaving, 1}, {usable, 2}}, true},
        {"unknown", {{unknown, 1}}, false},
    };
    for (const auto& item : cases) {
        SetUp();
        replica_pool pool{{.failure_domain = failure_domain_id{"ikeja"}}};
        pool.configure(upstreams_, clock_.now());
        pool.set_health(first, usable, 1, clock_.now());
        for (const auto& report : item.reports) {
            pool.set_health(first, report.health, report.run, clock_.now());
        }
        EXPECT_EQ(pool.admits(*pool.find(first), clock_.now()), item.admitted) << item.name;
    }
}

// Guards against new requests to an upstream that goes up and down several times a minute.
TEST_F(replica_pool_test, each_return_within_a_minute_doubles_the_wait)
{
    for (const duration wait : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
        set(replica_health::down, 1);
        set(replica_health::usable, 1);
        clock_.advance(wait - 1ms);
        EXPECT_FALSE(admits()) << to_milliseconds(wait) << " ms expected";
        clock_.advance(1ms);
        EXPECT_TRUE(admits()) << to_milliseconds(wait) << " ms expected";
        if (wait == 60s) {
            break;
        }
    }
    clock_.advance(61s);
    set(replica_health::down, 1);
    set(replica_health::usable, 1);
    clock_.advance(1s);
    EXPECT_TRUE(admits()) << "a minute without a return ends the damping";
}

// Guards against full load on a replica with a cold cache, and against slow start of all replicas
// after this VM starts, when none of them is new.
TEST_F(replica_pool_test, only_a_returned_replica_starts_slowly)
{
    EXPECT_EQ(pool_.capacity_share(index_, clock_.now()), 1.0);
    set(replica_health::down, 1);
    set(replica_health::usable, 1);
    clock_.advance(1s);
    EXPECT_EQ(pool_.capacity_share(index_, clock_.now()), 0.1);
    clock_.advance(5s);
    EXPECT_NEAR(pool_.capacity_share(index_, clock_.now()), 0.5, 1e-9);
    clock_.advance(5s);
    EXPECT_EQ(pool_.capacity_share(index_, clock_.now()), 1.0);
}

// Guards against counting this VM's attempts twice, or not at all, when the load report is delayed.
TEST_F(replica_pool_test, lagged_report_is_corrected_by_own_attempts)
{
    const auto early = pool_.begin(index_, clock_.now());
    const auto ended_before = pool_.begin(index_, clock_.now());
    clock_.advance(100ms);
    (void)pool_.finish(ended_before, {}, clock_.now());
    clock_.advance(400ms); // the report is measured here
    clock_.advance(300ms);
    const auto late = pool_.begin(index_, clock_.now());
    (void)pool_.finish(early, {}, clock_.now());
    clock_.advance(200ms);
    pool_.report_load(first, {.running = 3, .waiting = 1, .age = 500ms}, clock_.now());
    EXPECT_EQ(pool_.load(index_).reported, 4.0F);
    EXPECT_EQ(pool_.load(index_).sent_since, 1U);
    EXPECT_EQ(pool_.load(index_).finished_since, 1U);
    (void)pool_.finish(late, {}, clock_.now());
    EXPECT_EQ(pool_.load(index_).sent_since, 0U);
    EXPECT_EQ(pool_.load(index_).in_flight, 0U);
    pool_.report_load(first, {.running = 9, .age = 5s}, clock_.now());
    EXPECT_EQ(pool_.load(index_).reported, 4.0F) << "an older report replaced a newer one";
}

// Guards against counting an attempt of a removed upstream for the one that reuses its index.
TEST_F(replica_pool_test, attempt_of_a_removed_upstream_is_not_counted_at_its_successor)
{
    const auto ticket = pool_.begin(index_, clock_.now());
    upstreams_.erase(first);
    pool_.configure(upstreams_, clock_.now());
    upstreams_[upstream_id{"u9"}] = spec("127.0.0.1:9");
    pool_.configure(upstreams_, clock_.now());
    ASSERT_EQ(pool_.find(upstream_id{"u9"}), index_);
    (void)pool_.begin(index_, clock_.now());
    (void)pool_.finish(ticket, {}, clock_.now());
    EXPECT_EQ(pool_.load(index_).in_flight, 1U);
}

// Guards against a replica that looks fast because it fails quickly.
TEST_F(replica_pool_test, fast_failure_counts_as_slow)
{
    const auto ticket = pool_.begin(index_, clock_.now());
    const attempt_outcome failure{attempt_result::failed, 1ms, 1ms, 100ms};
    (void)pool_.finish(ticket, failure, clock_.now());
    EXPECT_GT(pool_.slowness(index_, clock_.now()), 1.5);
    clock_.advance(300s);
    EXPECT_NEAR(pool_.slowness(index_, clock_.now()), 1, 0.01) << "the slowness did not decay";
}

TEST_F(replica_pool_test, replica_that_refuses_connections_is_set_aside_for_longer_each_time)
{
    for (const duration wait : {500ms, 1000ms, 2000ms, 4000ms, 4000ms}) {
        ASSERT_TRUE(admits());
        const auto ticket = pool_.begin(index_, clock_.now());
        pool_.finish(ticket, {.result = attempt_result::cancelled, .connection_refused = true},
                     clock_.now());
        clock_.advance(wait - 1ms);
        EXPECT_FALSE(admits());
        clock_.advance(1ms);
    }
}

TEST_F(replica_pool_test, one_request_tests_a_replica_after_its_hold)
{
    ASSERT_TRUE(pool_.hold_for_quiet(index_, 2s, clock_.now()));
    EXPECT_FALSE(admits());
    EXPECT_EQ(pool_.until_released(index_, clock_.now()), 2s);
    clock_.advance(2s);
    ASSERT_TRUE(admits());
    const auto test = pool_.begin(index_, clock_.now());
    EXPECT_TRUE(test.tests_hold);
    EXPECT_FALSE(admits()) << "The test has no answer yet.";
    EXPECT_TRUE(pool_.may_send(test, clock_.now()));
    pool_.note_answered(test, clock_.now());
    EXPECT_TRUE(admits());
    EXPECT_FALSE(pool_.begin(index_, clock_.now()).tests_hold);
}

// Guards against ending the quiet that an earlier request's refusal asked for during the test.
TEST_F(replica_pool_test, answer_of_a_test_does_not_end_a_later_hold)
{
    pool_.hold_for_quiet(index_, 1s, clock_.now());
    clock_.advance(1s);
    const auto test = pool_.begin(index_, clock_.now());
    clock_.advance(100ms);
    ASSERT_TRUE(pool_.hold_for_quiet(index_, 10s, clock_.now()));
    pool_.note_answered(test, clock_.now());
    EXPECT_FALSE(admits());
    pool_.finish(test, {.result = attempt_result::succeeded}, clock_.now());
    EXPECT_FALSE(admits());
    clock_.advance(10s);
    EXPECT_TRUE(admits());
}

TEST_F(replica_pool_test, test_that_ends_without_an_answer_is_followed_by_another)
{
    pool_.hold_for_quiet(index_, 1s, clock_.now());
    clock_.advance(1s);
    const auto test = pool_.begin(index_, clock_.now());
    pool_.finish(test, {.result = attempt_result::cancelled}, clock_.now());
    ASSERT_TRUE(admits());
    EXPECT_TRUE(pool_.begin(index_, clock_.now()).tests_hold);
}

TEST_F(replica_pool_test, quiet_is_not_shortened_and_is_capped)
{
    EXPECT_TRUE(pool_.hold_for_quiet(index_, 3s, clock_.now()));
    EXPECT_FALSE(pool_.hold_for_quiet(index_, 1s, clock_.now()));
    EXPECT_EQ(pool_.until_released(index_, clock_.now()), 3s);
    EXPECT_TRUE(pool_.hold_for_quiet(index_, 10h, clock_.now()));
    EXPECT_EQ(pool_.until_released(index_, clock_.now()), pool_settings{}.longest_quiet);
}

TEST_F(replica_pool_test, request_that_had_chosen_the_replica_is_not_sent_during_its_hold)
{
    const auto ticket = pool_.begin(index_, clock_.now());
    EXPECT_TRUE(pool_.may_send(ticket, clock_.now()));
    pool_.hold_for_quiet(index_, 1s, clock_.now());
    EXPECT_FALSE(pool_.may_send(ticket, clock_.now()));
}

TEST_F(replica_pool_test, restarted_replica_has_no_hold)
{
    pool_.hold_for_quiet(index_, 60s, clock_.now());
    set(replica_health::usable, 2);
    EXPECT_TRUE(admits());
}

} // namespace
} // namespace wagtailhitch
