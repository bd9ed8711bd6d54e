#include "proxy/proxy_core.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Simulates VMs of several failure domains that read one store and report to each other in-process.

namespace wagtailhitch {
namespace {

using testing_proxy::make_contents;
using testing_proxy::make_settings;

class domain_reports_test : public testing::Test {
protected:
    static constexpr int vms_per_domain = 5;
    static constexpr duration step = 100ms;

    struct vm {
        std::string address;
        std::string domain;
        std::unique_ptr<proxy_core> core;
        bool alive{true};
        bool reaches_store{true};
        int reads{0};
        time_point next_report;
        time_point next_digest;
    };

    void SetUp() override
    {
        for (const char* domain : {"a", "b", "c"}) {
            for (int i = 0; i < vms_per_domain; ++i) {
                add(domain, std::string{domain} + std::to_string(i));
            }
        }
        for (auto& it : vms_) {
            for (const auto& other : vms_) {
                it.core->peers().add_address(other.address, failure_domain_id{other.domain});
            }
        }
    }

    void add(const std::string& domain, const std::string& name)
    {
        auto settings = make_settings(name);
        settings.failure_domain = failure_domain_id{domain};
        settings.report_address = name + ":1";
        vm it;
        it.address = settings.report_address;
        it.domain = domain;
        it.core = std::make_unique<proxy_core>(settings, counters_, clock_.now());
        vms_.push_back(std::move(it));
    }

    void learn(vm& it, revision version)
    {
        it.core->note_position(followed_stream::operators, version, version);
        it.core->set_catalog(std::make_shared<const proxy_catalog>(make_contents(version)));
    }

    void read(vm& it)
    {
        ++it.reads;
        if (!it.reaches_store) {
            return;
        }
        const bool news = !it.core->catalog() || it.core->catalog()->version() < stored_;
        learn(it, stored_);
        it.core->note_read(followed_stream::operators, clock_.now());
        it.core->confirm(clock_.now());
        for (auto& other : vms_) {
            if (news && other.alive && other.domain == it.domain) {
                learn(other, stored_);
            }
        }
    }

    void deliver(const std::string& address, const peer_report& report)
    {
        for (auto& it : vms_) {
            if (it.address != address || !it.alive) {
                continue;
            }
            const bool fresh = it.core->take_report(report, clock_.now());
            if (fresh && report.scope == report_scope::domain && !report.relayed) {
                peer_report copy = report;
                copy.relayed = true;
                for (const auto& member : it.core->peers().member_addresses(clock_.now())) {
                    deliver(member, copy);
                }
            }
        }
    }

    void send(vm& it, report_scope scope)
    {
        const peer_report report = it.core->make_report(scope, clock_.now());
        for (const auto& address : it.core->report_addresses(scope, clock_.now())) {
            deliver(address, report);
        }
    }

    void run(duration time)
    {
        for (const time_point until = clock_.now() + time; clock_.now() < until;
             clock_.advance(step)) {
            for (auto& it : vms_) {
                if (it.alive) {
                    tick(it);
                }
            }
        }
    }

    void tick(vm& it)
    {
        const time_point now = clock_.now();
        (void)it.core->tick(now);
        if (it.core->peer_with_newer_records(followed_stream::operators, now)) {
            learn(it, stored_);
        }
        if (it.core->until_read(followed_stream::operators, now) <= 0s) {
            read(it);
        }
        if (now >= it.next_report) {
            it.next_report = now + it.core->peers().report_interval(now);
            send(it, report_scope::vm);
        }
        if (now >= it.next_digest && it.core->sends_domain_digest(now)) {
            it.next_digest = now + it.core->peers().digest_interval();
            send(it, report_scope::domain);
        }
    }

    [[nodiscard]] duration oldest_confirmation() const
    {
        duration out{};
        for (const auto& it : vms_) {
            if (it.alive) {
                out = std::max(out, it.core->configuration_age(clock_.now()));
            }
        }
        return out;
    }

    [[nodiscard]] std::set<revision> versions() const
    {
        std::set<revision> out;
        for (const auto& it : vms_) {
            if (it.alive) {
                out.insert(it.core->catalog()->version());
            }
        }
        return out;
    }

    int reads()
    {
        int out = 0;
        for (auto& it : vms_) {
            out += std::exchange(it.reads, 0);
        }
        return out;
    }

    manual_clock clock_;
    metrics counters_;
    std::vector<vm> vms_;
    revision stored_{1};
};

TEST_F(domain_reports_test, one_member_reads_for_its_domain_and_all_stay_confirmed)
{
    run(5s);
    reads();
    for (int i = 0; i < 100; ++i) {
        run(100ms);
        EXPECT_LE(oldest_confirmation(), 2400ms);
    }
    EXPECT_LE(reads(), 3 * 11) << "Each of the three domains reads at most once a second.";
}

TEST_F(domain_reports_test, change_reaches_every_vm_within_two_seconds_at_one_read_a_domain)
{
    run(5s);
    stored_ = 2;
    reads();
    run(2s);
    EXPECT_EQ(versions(), std::set<revision>{2});
    EXPECT_LE(reads(), 3 * 5);
}

TEST_F(domain_reports_test, loss_of_all_speakers_leaves_the_others_confirmed)
{
    run(5s);
    for (std::size_t i = 0; i < vms_.size(); i += vms_per_domain) {
        vms_[i].alive = false;
    }
    for (int i = 0; i < 100; ++i) {
        run(100ms);
        EXPECT_LE(oldest_confirmation(), 2600ms);
    }
    stored_ = 2;
    run(2s);
    EXPECT_EQ(versions(), std::set<revision>{2});
}

TEST_F(domain_reports_test, domain_that_the_store_turns_away_is_confirmed_by_the_others)
{
    run(5s);
    for (auto& it : vms_) {
        it.reaches_store = it.domain != "b";
    }
    for (int i = 0; i < 100; ++i) {
        run(100ms);
        EXPECT_LE(oldest_confirmation(), 4s)
            << "Keys are valid for four seconds after a confirmation in this test.";
    }
}

TEST_F(domain_reports_test, member_that_the_store_turns_away_leaves_the_reading_to_another)
{
    run(5s);
    vms_[0].reaches_store = false;
    for (int i = 0; i < 100; ++i) {
        run(100ms);
        EXPECT_LE(oldest_confirmation(), 2600ms);
    }
}

TEST_F(domain_reports_test, requests_of_all_domains_add_up_in_every_vm)
{
    const replica_announcement replica = testing_proxy::make_replica("app-a", "app", "a");
    run(3s);
    std::uint32_t placed = 0;
    for (auto& it : vms_) {
        it.core->replicas().announce(replica, clock_.now());
        (void)it.core->tick(clock_.now());
        proxied_request request;
        request.id = it.address;
        request.host = "api.example";
        request.path = "/publish/1";
        request.key = "key-1";
        request.received_at = clock_.now();
        const auto admitted = it.core->admit(request, clock_.now());
        ASSERT_TRUE(admitted.has_value());
        placed += it.core->place(*admitted, request, {}, clock_.now()) ? 1 : 0;
    }
    ASSERT_GT(placed, 5U);
    run(2s);
    for (auto& it : vms_) {
        auto seen = it.core->peers().loads(clock_.now())[replica.id];
        for (const auto& own : it.core->make_report(report_scope::vm, clock_.now()).loads) {
            seen += own.in_flight;
        }
        EXPECT_EQ(seen, placed) << it.address;
        EXPECT_EQ(it.core->peers().known() + 1, vms_.size());
    }
}

} // namespace
} // namespace wagtailhitch
