#include "proxy/peer_table.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class peer_table_test : public testing::Test {
protected:
    static peer_report report(const std::string& vm, std::uint64_t sequence)
    {
        peer_report out;
        out.domain = failure_domain_id{"a"};
        out.from = {vm_id{vm}, 1};
        out.address = vm + ":1";
        out.sequence = sequence;
        out.position = {{}, 7};
        out.loads = {{upstream_id{"r"}, 2}};
        return out;
    }
    bool take(const std::string& vm, std::uint64_t sequence)
    {
        return table_.take(report(vm, sequence), clock_.now());
    }

    bool take_digest(const std::string& vm, const std::string& domain, std::uint64_t sequence)
    {
        peer_report out = report(vm, sequence);
        out.scope = report_scope::domain;
        out.domain = failure_domain_id{domain};
        out.members = 5;
        return table_.take(out, clock_.now());
    }

    manual_clock clock_;
    peer_table table_{{{vm_id{"m"}, 1}, "m:1", failure_domain_id{"a"}, 2s}};
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
    EXPECT_EQ(table_.member_rank(false, clock_.now()), 1U);
    EXPECT_EQ(table_.member_rank(true, clock_.now()), 2U)
        << "All other members precede a VM that is leaving.";
    clock_.advance(3s);
    EXPECT_EQ(table_.member_rank(false, clock_.now()), 0U);
}

TEST_F(peer_table_test, speaker_ranks_after_the_speakers_of_earlier_domains_only)
{
    take("z", 1);
    take_digest("x", "0", 1);
    take_digest("y", "b", 1);
    EXPECT_EQ(table_.rank(false, clock_.now()), 1U);
    take("a", 1);
    EXPECT_EQ(table_.rank(false, clock_.now()), 3U) << "All speakers precede a VM that is not one.";
}

TEST_F(peer_table_test, digests_of_the_own_domain_and_reports_of_others_are_refused)
{
    EXPECT_FALSE(take_digest("a", "a", 1));
    auto report_of_another_domain = report("x", 1);
    report_of_another_domain.domain = failure_domain_id{"b"};
    EXPECT_FALSE(table_.take(report_of_another_domain, clock_.now()));
    EXPECT_TRUE(take_digest("x", "b", 1));
    EXPECT_FALSE(take_digest("x", "b", 1));
    EXPECT_TRUE(take_digest("y", "b", 1)) << "A new speaker has its own sequence numbers.";
}

TEST_F(peer_table_test, digests_add_to_totals_but_not_to_member_counts)
{
    take("a", 1);
    take_digest("x", "b", 1);
    EXPECT_EQ(table_.loads(clock_.now()).at(upstream_id{"r"}), 4U);
    EXPECT_EQ(table_.member_loads(clock_.now()).at(upstream_id{"r"}), 2U);
    EXPECT_EQ(table_.known(), 6U);
    EXPECT_EQ(table_.known_members(), 1U);
}

TEST_F(peer_table_test, digest_goes_to_the_speaker_of_a_domain_or_to_each_known_address_in_turn)
{
    table_.add_address("b1:1", failure_domain_id{"b"});
    table_.add_address("b2:1", failure_domain_id{"b"});
    table_.add_address("a1:1", failure_domain_id{"a"});
    EXPECT_EQ(table_.digest_addresses(0, clock_.now()), (std::vector<std::string>{"b1:1"}));
    EXPECT_EQ(table_.digest_addresses(1, clock_.now()), (std::vector<std::string>{"b2:1"}));
    take_digest("b2", "b", 1);
    EXPECT_EQ(table_.digest_addresses(0, clock_.now()), (std::vector<std::string>{"b2:1"}));
    clock_.advance(3s);
    EXPECT_EQ(table_.digest_addresses(0, clock_.now()), (std::vector<std::string>{"b1:1"}));
}

TEST_F(peer_table_test, silent_addresses_are_tried_in_turn)
{
    take("a", 1);
    for (const char* address : {"x:1", "y:1", "m:1"}) {
        table_.add_address(address, failure_domain_id{"a"});
    }
    EXPECT_EQ(table_.addresses(0, clock_.now()), (std::vector<std::string>{"a:1", "x:1"}));
    EXPECT_EQ(table_.addresses(1, clock_.now()), (std::vector<std::string>{"a:1", "y:1"}));
    EXPECT_EQ(table_.known(), 3U);
}

TEST_F(peer_table_test, peer_that_has_read_further_is_found)
{
    take("a", 1);
    const auto address_of_peer_ahead = [this](log_offset offset, bool speaker) {
        return table_.address_of_peer_ahead(followed_stream::operators, {{}, offset}, speaker,
                                            clock_.now());
    };
    EXPECT_EQ(address_of_peer_ahead(6, false), "a:1");
    EXPECT_EQ(address_of_peer_ahead(7, false), std::nullopt);
    EXPECT_EQ(table_.address_of_peer_ahead(followed_stream::replicas, {}, true, clock_.now()),
              std::nullopt);
    auto ahead_digest = report("x", 1);
    ahead_digest.scope = report_scope::domain;
    ahead_digest.domain = failure_domain_id{"b"};
    ahead_digest.position = {{}, 9};
    table_.take(ahead_digest, clock_.now());
    EXPECT_EQ(address_of_peer_ahead(7, false), std::nullopt)
        << "Only the speaker asks another domain.";
    EXPECT_EQ(address_of_peer_ahead(7, true), "x:1");
    EXPECT_EQ(address_of_peer_ahead(6, true), "a:1") << "Members are preferred to other domains.";
}

// Guards against a VM that keeps what the store has lost: the offsets of a later epoch are lower.
TEST_F(peer_table_test, peer_that_has_read_a_later_epoch_is_ahead_at_any_offset)
{
    auto peer = report("a", 1);
    peer.position = {log_epoch{2}, 3};
    table_.take(peer, clock_.now());
    const auto ahead_of = [this](log_position position) {
        return table_.address_of_peer_ahead(followed_stream::operators, position, true,
                                            clock_.now());
    };
    EXPECT_EQ(ahead_of({log_epoch{1}, 9}), "a:1");
    EXPECT_EQ(ahead_of({log_epoch{2}, 3}), std::nullopt);
    EXPECT_EQ(ahead_of({log_epoch{3}, 0}), std::nullopt);
}

TEST_F(peer_table_test, report_rate_of_a_large_deployment_is_bounded_and_peers_stay_live)
{
    constexpr int vms = 200;
    constexpr double datagrams_bound = 60;
    for (int i = 0; i < vms; ++i) {
        take("v" + std::to_string(i), 1);
    }
    const std::chrono::duration<double> interval = table_.report_interval(clock_.now());
    EXPECT_LE(vms / interval.count(), datagrams_bound);
    clock_.advance(2 * table_.report_interval(clock_.now()));
    EXPECT_EQ(table_.live_members(clock_.now()), static_cast<std::size_t>(vms));
}

} // namespace
} // namespace wagtailhitch
