#include "routing/cold_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace wagtailhitch {
namespace {

using domain_members = std::map<failure_domain_id, std::vector<std::string>>;

constexpr std::uint32_t bound = 26;
const upstream_id replica_id{"i-1"};
const failure_domain_id domain_a{"a"};

std::string address_of(int domain, int vm)
{
    return "10.0." + std::to_string(domain) + "." + std::to_string(vm);
}

domain_members make_members(int domains, int vms)
{
    domain_members out;
    for (int d = 0; d < domains; ++d) {
        for (int vm = 0; vm < vms; ++vm) {
            out[failure_domain_id{std::string(1, static_cast<char>('a' + d))}].push_back(
                address_of(d, vm));
        }
    }
    return out;
}

class cold_limiter_test : public ::testing::Test {
protected:
    static cold_limiter::replica target() { return {replica_id, domain_a, bound}; }

    /// Sends as often as the limiter allows.
    int send_all(cold_limiter& limiter)
    {
        int sent = 0;
        while (limiter.admits(target(), clock_.now())) {
            const auto send = limiter.reserve(replica_id, clock_.now());
            EXPECT_TRUE(limiter.confirm(target(), true, send, clock_.now()));
            ++sent;
        }
        return sent;
    }

    manual_clock clock_;
};

// Shares of one request for each of many VMs exceed the bound, since all may be used at once.
TEST_F(cold_limiter_test, burst_of_all_vms_stays_within_the_bound)
{
    const auto members = make_members(6, 11);
    std::vector<std::unique_ptr<cold_limiter>> vms;
    for (const auto& [domain, addresses] : members) {
        for (const auto& address : addresses) {
            vms.push_back(std::make_unique<cold_limiter>(cold_limiter_settings{.self = address},
                                                         clock_.now()));
            vms.back()->set_members(members);
        }
    }
    clock_.advance(1s);
    int sent = 0;
    for (const auto& vm : vms) {
        sent += send_all(*vm);
    }
    EXPECT_LE(sent, static_cast<int>(bound));
    // A cold replica that gets next to nothing would leave its callers to others for no reason.
    EXPECT_GE(sent, static_cast<int>(bound) / 2);
}

TEST_F(cold_limiter_test, vm_that_does_not_know_the_others_sends_nothing_to_cold_replicas)
{
    cold_limiter limiter{{.self = address_of(0, 0)}, clock_.now()};
    clock_.advance(5s);
    EXPECT_EQ(send_all(limiter), 0);
}

// The earlier run of a VM may have used its share in the same second.
TEST_F(cold_limiter_test, restarted_vm_waits_before_it_sends)
{
    cold_limiter limiter{{.self = address_of(0, 0)}, clock_.now()};
    limiter.set_members({{domain_a, {address_of(0, 0)}}});
    clock_.advance(999ms);
    EXPECT_EQ(send_all(limiter), 0);
    clock_.advance(1ms);
    EXPECT_GT(send_all(limiter), 0);
}

// Requests sent while the replica was taken for warm are in the window when it turns cold.
TEST_F(cold_limiter_test, sends_before_the_replica_turned_cold_count)
{
    cold_limiter limiter{{.self = address_of(0, 0)}, clock_.now()};
    limiter.set_members({{domain_a, {address_of(0, 0)}}});
    clock_.advance(2s);
    for (int i = 0; i < 40; ++i) {
        const auto send = limiter.reserve(replica_id, clock_.now());
        EXPECT_TRUE(limiter.confirm(target(), false, send, clock_.now()));
    }
    EXPECT_FALSE(limiter.admits(target(), clock_.now()));
    EXPECT_GT(limiter.until_admitted(target(), clock_.now()), duration{0});
    clock_.advance(1100ms);
    EXPECT_TRUE(limiter.admits(target(), clock_.now()));
}

// A VM that was suspended between its decision and the write must not add the request to a second
// in which its share is used up.
TEST_F(cold_limiter_test, send_that_was_delayed_counts_when_it_is_written)
{
    cold_limiter limiter{{.self = address_of(0, 0)}, clock_.now()};
    limiter.set_members({{domain_a, {address_of(0, 0)}}});
    clock_.advance(2s);
    const auto delayed = limiter.reserve(replica_id, clock_.now());
    clock_.advance(3s);
    EXPECT_GT(send_all(limiter), 0);
    EXPECT_FALSE(limiter.confirm(target(), true, delayed, clock_.now()));
    clock_.advance(1100ms);
    EXPECT_TRUE(limiter.confirm(target(), true, delayed, clock_.now()));
}

// Requests that keep their place in the window without being sent would block each other.
TEST_F(cold_limiter_test, withdrawn_requests_leave_their_share_to_the_others)
{
    cold_limiter limiter{{.self = address_of(0, 0)}, clock_.now()};
    limiter.set_members({{domain_a, {address_of(0, 0)}}});
    clock_.advance(2s);
    std::vector<std::uint64_t> sends;
    sends.reserve(40);
    for (int i = 0; i < 40; ++i) {
        sends.push_back(limiter.reserve(replica_id, clock_.now()));
    }
    const auto sent = std::ranges::count_if(
        sends, [&](std::uint64_t it) { return limiter.confirm(target(), true, it, clock_.now()); });
    EXPECT_EQ(sent, divide_cold_bound(bound, 1, 1).requests);
}

// A replica may come back under its id in another failure domain, with other senders.
TEST_F(cold_limiter_test, senders_follow_the_domain_of_the_replica)
{
    const auto members = make_members(2, 20);
    const failure_domain_id domain_b{"b"};
    cold_limiter limiter{{.self = address_of(0, 0)}, clock_.now()};
    limiter.set_members(members);
    clock_.advance(2s);
    const auto quota = divide_cold_bound(bound, 20, 40);
    ASSERT_LE(quota.senders, 20U);
    for (int i = 0; i < 50; ++i) {
        const upstream_id id{"i-" + std::to_string(i)};
        (void)limiter.admits({id, domain_a, bound}, clock_.now());
        EXPECT_FALSE(limiter.admits({id, domain_b, bound}, clock_.now()));
    }
}

TEST_F(cold_limiter_test, share_is_divided_for_small_and_large_bounds)
{
    for (const std::uint32_t most : {0U, 1U, 3U, 8U, 26U, 400U}) {
        for (const std::size_t vms : {1U, 3U, 11U, 66U, 300U}) {
            const auto quota = divide_cold_bound(most, std::min<std::size_t>(vms, 11), vms);
            EXPECT_LE(quota.senders * quota.requests, most);
            EXPECT_LE(quota.senders, vms);
        }
    }
    EXPECT_EQ(divide_cold_bound(0, 1, 1).requests, 0U);
}

// The sum over all VMs in any second, while VMs start, die, are suspended, and some of them have
// not heard of two others yet.
RC_GTEST_PROP(cold_limiter_property, sum_over_all_vms_stays_within_the_bound, ())
{
    const int domains = *rc::gen::inRange(1, 5);
    const int vms_each = *rc::gen::inRange(1, 12);
    const auto limit = static_cast<std::uint32_t>(*rc::gen::inRange(3, 60));
    const auto members = make_members(domains, vms_each);
    manual_clock clock;
    clock.advance(10s);
    struct vm_state {
        std::string address;
        std::unique_ptr<cold_limiter> limiter;
        bool knows_all{true};
        std::vector<std::uint64_t> reserved;
    };
    std::vector<std::string> addresses;
    for (const auto& [domain, list] : members) {
        addresses.insert(addresses.end(), list.begin(), list.end());
    }
    std::vector<std::string> newcomers;
    newcomers.reserve(2);
    for (int i = 0; i < 2; ++i) {
        newcomers.push_back(*rc::gen::elementOf(addresses));
    }
    auto without_newcomers = members;
    for (auto& [domain, list] : without_newcomers) {
        std::erase_if(list, [&](const auto& it) {
            return std::ranges::find(newcomers, it) != newcomers.end();
        });
    }
    const auto start = [&](vm_state& vm) {
        vm.limiter =
            std::make_unique<cold_limiter>(cold_limiter_settings{.self = vm.address}, clock.now());
        vm.limiter->set_members(vm.knows_all ? members : without_newcomers);
        vm.reserved.clear();
    };
    std::vector<vm_state> vms;
    for (const auto& address : addresses) {
        const bool newcomer = std::ranges::find(newcomers, address) != newcomers.end();
        vms.push_back({address, nullptr, newcomer || *rc::gen::arbitrary<bool>(), {}});
        start(vms.back());
    }
    const cold_limiter::replica target{replica_id, domain_a, limit};
    std::deque<time_point> sent;
    for (int step = 0; step < 300; ++step) {
        clock.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 40)});
        vm_state& vm = vms[*rc::gen::inRange<std::size_t>(0, vms.size())];
        const int action = *rc::gen::inRange(0, 40);
        if (action == 0) {
            start(vm);
        }
        else if (action == 1 && vm.limiter->admits(target, clock.now())) {
            vm.reserved.push_back(vm.limiter->reserve(replica_id, clock.now()));
        }
        else {
            std::optional<std::uint64_t> send;
            if (!vm.reserved.empty()) {
                send = vm.reserved.back();
                vm.reserved.pop_back();
            }
            else if (vm.limiter->admits(target, clock.now())) {
                send = vm.limiter->reserve(replica_id, clock.now());
            }
            if (send && vm.limiter->confirm(target, true, *send, clock.now())) {
                sent.push_back(clock.now());
            }
        }
        while (!sent.empty() && clock.now() - sent.front() >= 1s) {
            sent.pop_front();
        }
        RC_ASSERT(sent.size() <= limit);
    }
}

} // namespace
} // namespace wagtailhitch
