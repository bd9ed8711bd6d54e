#include "proxy/peer_table.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class peer_table_test : public testing::Test {
protected:
    static peer_report report(const std::string& vm, std::uint64_t sequence)
    {
        peer_report out;
        out.from = {vm_id{vm}, 1};
        out.address = vm + ":1";
        out.sequence = sequence;
        out.position = 7;
        out.loads = {{upstream_id{"r"}, 2}};
        return out;
    }
    bool take(const std::string& vm, std::uint64_t sequence)
    {
        return table_.take(report(vm, sequence), clock_.now());
    }

    manual_clock clock_;
    peer_table table_{{vm_id{"m"}, 1}, "m:1", 2s};
};

TEST_F(peer_table_test, own_and_older_reports_are_refused)
{
    EXPECT_FALSE(take("m", 1));
    EXPECT_TRUE(take("a", 2));
    EXPECT_FALSE(take("a", 2));
    EXPECT_FALSE(take("a", 1));
}

TEST_F(peer_table_test, loads_of_live_peers_add_up)
{
    take("a", 1);
    take("z", 1);
    EXPECT_EQ(table_.loads(clock_.now()).at(upstream_id{"r"}), 4U);
    clock_.advance(3s);
    EXPECT_TRUE(table_.loads(clock_.now()).empty());
}

TEST_F(peer_table_test, rank_counts_live_peers_with_earlier_names)
{
    take("a", 1);
    take("z", 1);
    EXPECT_EQ(table_.rank(clock_.now()), 1U);
    clock_.advance(3s);
    EXPECT_EQ(table_.rank(clock_.now()), 0U);
}

TEST_F(peer_table_test, silent_addresses_are_tried_in_turn)
{
    take("a", 1);
    table_.add_address("x:1");
    table_.add_address("y:1");
    table_.add_address("m:1");
    EXPECT_EQ(table_.addresses(0, clock_.now()), (std::vector<std::string>{"a:1", "x:1"}));
    EXPECT_EQ(table_.addresses(1, clock_.now()), (std::vector<std::string>{"a:1", "y:1"}));
    EXPECT_EQ(table_.known(), 3U);
}

TEST_F(peer_table_test, peer_that_read_further_is_noticed)
{
    take("a", 1);
    EXPECT_TRUE(table_.ahead_of(6, clock_.now()));
    EXPECT_FALSE(table_.ahead_of(7, clock_.now()));
}

TEST_F(peer_table_test, reports_of_a_large_deployment_stay_bounded_and_peers_live_as_long)
{
    constexpr int vms = 200;
    constexpr double datagrams_bound = 60;
    for (int i = 0; i < vms; ++i) {
        take("v" + std::to_string(i), 1);
    }
    const std::chrono::duration<double> interval = table_.report_interval(clock_.now());
    EXPECT_LE(vms / interval.count(), datagrams_bound);
    clock_.advance(2 * table_.report_interval(clock_.now()));
    EXPECT_EQ(table_.live(clock_.now()), static_cast<std::size_t>(vms));
}

} // namespace
} // namespace wagtailhitch
