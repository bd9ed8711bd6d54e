#include "proxy/replica_directory.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class replica_directory_test : public testing::Test {
protected:
    static replica_announcement announcement(const std::string& id, std::uint64_t started = 100,
                                             std::uint64_t sequence = 1)
    {
        replica_announcement out;
        out.id = upstream_id{id};
        out.service = "engine";
        out.address = "10.0.0.1:80";
        out.failure_domain = failure_domain_id{"ikeja"};
        out.software = "v1";
        out.slots = 4;
        out.started_ms = started;
        out.sequence = sequence;
        return out;
    }
    announcement_effect announce(const replica_announcement& a)
    {
        return directory_.announce(a, clock_.now());
    }
    bool usable(const std::string& id)
    {
        directory_.tick(clock_.now());
        return directory_.upstreams().contains(upstream_id{id});
    }

    manual_clock clock_;
    directory_settings settings_;
    replica_directory directory_{settings_, {{failure_domain_id{"ikeja"}, region_id{"south"}}}};
};

TEST_F(replica_directory_test, announced_replica_is_usable_in_its_region)
{
    EXPECT_EQ(announce(announcement("a")), announcement_effect::added);
    ASSERT_TRUE(usable("a"));
    EXPECT_EQ(directory_.upstreams().at(upstream_id{"a"}).region.value, "south");
}

TEST_F(replica_directory_test, repeated_announcement_changes_nothing)
{
    announce(announcement("a"));
    directory_.tick(clock_.now());
    EXPECT_EQ(announce(announcement("a", 100, 2)), announcement_effect::none);
    EXPECT_FALSE(directory_.tick(clock_.now()));
}

TEST_F(replica_directory_test, leaving_replica_gets_no_work_at_once)
{
    announce(announcement("a"));
    auto leaving = announcement("a", 100, 2);
    leaving.leaving = true;
    EXPECT_EQ(announce(leaving), announcement_effect::left);
    EXPECT_FALSE(usable("a"));
}

TEST_F(replica_directory_test, late_record_of_the_same_run_does_not_bring_a_leaving_replica_back)
{
    auto leaving = announcement("a", 100, 5);
    leaving.leaving = true;
    announce(leaving);
    EXPECT_EQ(announce(announcement("a", 100, 4)), announcement_effect::stale);
    announce(announcement("a", 100, 6));
    EXPECT_FALSE(usable("a")) << "A leaving replica never returns within the same run.";
}

// A replica that stops as planned removes its record before it starts again, and is then cold.
TEST_F(replica_directory_test, start_is_seen_as_new_also_after_the_record_was_removed)
{
    announce(announcement("a"));
    clock_.advance(5s);
    directory_.withdraw(upstream_id{"a"}, clock_.now());
    clock_.advance(5s);
    ASSERT_FALSE(usable("a"));
    announce(announcement("a", 200));
    EXPECT_EQ(directory_.find(upstream_id{"a"})->started_at, clock_.now());
}

TEST_F(replica_directory_test, same_run_that_registers_again_is_no_new_start)
{
    announce(announcement("a"));
    directory_.withdraw(upstream_id{"a"}, clock_.now());
    clock_.advance(5s);
    ASSERT_FALSE(usable("a"));
    announce(announcement("a", 100, 2));
    EXPECT_EQ(directory_.find(upstream_id{"a"})->started_at, time_point{});
}

TEST_F(replica_directory_test, restart_under_the_same_id_is_usable_and_restarts_the_sequence)
{
    auto leaving = announcement("a", 100, 9);
    leaving.leaving = true;
    announce(leaving);
    EXPECT_EQ(announce(announcement("a", 200, 1)), announcement_effect::restarted);
    EXPECT_TRUE(usable("a"));
    EXPECT_EQ(announce(announcement("a", 100, 10)), announcement_effect::stale);
}

TEST_F(replica_directory_test, withdrawn_replica_is_used_for_a_short_while_only)
{
    for (const char* id : {"a", "b", "c", "d"}) {
        announce(announcement(id));
    }
    directory_.withdraw(upstream_id{"a"}, clock_.now());
    EXPECT_TRUE(usable("a"));
    clock_.advance(settings_.withdrawn_grace);
    EXPECT_FALSE(usable("a"));
    EXPECT_TRUE(usable("b"));
}

TEST_F(replica_directory_test, mass_withdrawal_keeps_replicas_until_they_register_again)
{
    for (const char* id : {"a", "b", "c"}) {
        announce(announcement(id));
    }
    for (const char* id : {"a", "b", "c"}) {
        directory_.withdraw(upstream_id{id}, clock_.now());
    }
    clock_.advance(2s);
    EXPECT_TRUE(usable("a"));
    announce(announcement("b", 100, 2));
    clock_.advance(1s);
    EXPECT_FALSE(usable("a")) << "It did not register again in time.";
    EXPECT_TRUE(usable("b"));
}

TEST_F(replica_directory_test, replica_missing_after_a_gap_is_withdrawn)
{
    for (const char* id : {"a", "b", "c", "d"}) {
        announce(announcement(id));
    }
    const std::vector<replica_announcement> rest{announcement("b"), announcement("c"),
                                                 announcement("d")};
    EXPECT_EQ(directory_.replace_all(rest, clock_.now()), 1U);
    clock_.advance(settings_.withdrawn_grace);
    EXPECT_FALSE(usable("a"));
    EXPECT_TRUE(usable("c"));
}

TEST_F(replica_directory_test, withdrawal_of_a_leaving_replica_forgets_it)
{
    auto leaving = announcement("a");
    leaving.leaving = true;
    announce(leaving);
    EXPECT_FALSE(directory_.withdraw(upstream_id{"a"}, clock_.now()));
    EXPECT_EQ(directory_.find(upstream_id{"a"}), nullptr);
}

// Guards against requests to a replica that has left, when the store comes back from a copy that
// lists it.
TEST_F(replica_directory_test, outdated_record_does_not_bring_a_removed_replica_back)
{
    auto leaving = announcement("a", 100, 5);
    leaving.leaving = true;
    announce(leaving);
    directory_.withdraw(upstream_id{"a"}, clock_.now());
    EXPECT_EQ(announce(announcement("a", 100, 4)), announcement_effect::stale);
    directory_.replace_all({announcement("a", 100, 4)}, clock_.now());
    EXPECT_FALSE(usable("a"));
    announce(announcement("a", 100, 6));
    EXPECT_TRUE(usable("a")) << "The run announced itself after its record had expired.";
}

TEST_F(replica_directory_test, replica_that_says_it_is_leaving_is_not_brought_back_by_old_records)
{
    announce(announcement("r1"));
    ASSERT_TRUE(directory_.mark_leaving(upstream_id{"r1"}, 100, clock_.now()));
    EXPECT_FALSE(directory_.mark_leaving(upstream_id{"r1"}, 100, clock_.now()));
    EXPECT_FALSE(usable("r1"));
    announce(announcement("r1", 100, 9));
    EXPECT_FALSE(usable("r1"));
    directory_.withdraw(upstream_id{"r1"}, clock_.now());
    announce(announcement("r1", 100, 10));
    EXPECT_FALSE(usable("r1")) << "A replay after the record was removed.";
    directory_.replace_all({announcement("r1", 100, 11)}, clock_.now());
    EXPECT_FALSE(usable("r1"));
    announce(announcement("r1", 101));
    EXPECT_TRUE(usable("r1")) << "A new run.";
}

TEST_F(replica_directory_test, new_holder_of_the_address_of_a_leaving_replica_is_usable)
{
    announce(announcement("r1"));
    directory_.mark_leaving(upstream_id{"r1"}, 100, clock_.now());
    announce(announcement("r2"));
    EXPECT_TRUE(usable("r2"));
}

TEST_F(replica_directory_test, mark_of_an_earlier_run_does_not_apply_to_a_later_one)
{
    announce(announcement("r1", 200));
    directory_.mark_leaving(upstream_id{"r1"}, 100, clock_.now());
    EXPECT_TRUE(usable("r1"));
}

} // namespace
} // namespace wagtailhitch
