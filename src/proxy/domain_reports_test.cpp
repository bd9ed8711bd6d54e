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
        for (auto& node : vms_) {
            for (const auto& other : vms_) {
                node.core->peers().add_address(other.address, failure_domain_id{other.domain});
            }
        }
    }

    void add(const std::string& domain, const std::string& name)
    {
        auto settings = make_settings(name);
        settings.failure_domain = failure_domain_id{domain};
        settings.report_address = name + ":1";
        vm node;
        node.address = settings.report_address;
        node.domain = domain;
        node.core = std::make_unique<proxy_core>(settings, counters_, clock_.now());
        vms_.push_back(std::move(node));
    }

    void apply_version(vm& node, revision version)
    {
        node.core->note_position(followed_stream::operators, {{}, version}, {{}, version});
        node.core->set_catalog(std::make_shared<const proxy_catalog>(make_contents(version)));
    }

    void read(vm& node)
    {
        ++node.reads;
        if (!node.reaches_store) {
            return;
        }
        const bool is_update =
            !node.core->catalog() || node.core->catalog()->version() < stored_version_;
        apply_version(node, stored_version_);
        node.core->note_read(followed_stream::operators, clock_.now());
        node.core->confirm(clock_.now());
        for (auto& other : vms_) {
            if (is_update && other.alive && other.domain == node.domain) {
                apply_version(other, stored_version_);
            }
        }
    }

    void deliver(const std::string& address, const peer_report& report)
    {
        for (auto& node : vms_) {
            if (node.address != address || !node.alive) {
                continue;
            }
            const bool fresh = node.core->take_report(report, clock_.now());
            if (fresh && report.scope == report_scope::domain && !report.relayed) {
                peer_report copy = report;
                copy.relayed = true;
                for (const auto& member : node.core->peers().member_addresses(clock_.now())) {
                    deliver(member, copy);
                }
            }
        }
    }

    void send(vm& node, report_scope scope)
    {
        const peer_report report = node.core->make_report(scope, clock_.now());
        for (const auto& address : node.core->report_addresses(scope, clock_.now())) {
            deliver(address, report);
        }
    }

    void run(duration time)
    {
        for (const time_point until = clock_.now() + time; clock_.now() < until;
             clock_.advance(step)) {
            for (auto& node : vms_) {
                if (node.alive) {
                    tick(node);
                }
            }
        }
    }

    void tick(vm& node)
    {
        const time_point now = clock_.now();
        (void)node.core->tick(now);
        if (node.core->peer_with_newer_records(followed_stream::operators, now)) {
            apply_version(node, stored_version_);
        }
        if (node.core->until_read(followed_stream::operators, now) <= 0s) {
            read(node);
        }
        if (now >= node.next_report) {
            node.next_report = now + node.core->peers().report_interval(now);
            send(node, report_scope::vm);
        }
        if (now >= node.next_digest && node.core->sends_domain_digest(now)) {
            node.next_digest = now + node.core->peers().digest_interval();
            send(node, report_scope::domain);
        }
    }

    [[nodiscard]] duration oldest_confirmation() const
    {
        duration out{};
        for (const auto& node : vms_) {
            if (node.alive) {
                out = std::max(out, node.core->configuration_age(clock_.now()));
            }
        }
        return out;
    }

    [[nodiscard]] std::set<revision> versions() const
    {
        std::set<revision> out;
        for (const auto& node : vms_) {
            if (node.alive) {
                out.insert(node.core->catalog()->version());
            }
        }
        return out;
    }

    int reads()
    {
        int out = 0;
        for (auto& node : vms_) {
            out += std::exchange(node.reads, 0);
        }
        return out;
    }

    manual_clock clock_;
    metrics counters_;
    std::vector<vm> vms_;
    revision stored_version_{1};
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
    stored_version_ = 2;
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
    stored_version_ = 2;
    run(2s);
    EXPECT_EQ(versions(), std::set<revision>{2});
}

TEST_F(domain_reports_test, domain_that_cannot_reach_the_store_is_confirmed_by_the_others)
{
    run(5s);
    for (auto& node : vms_) {
        node.reaches_store = node.domain != "b";
    }
    for (int i = 0; i < 100; ++i) {
        run(100ms);
        EXPECT_LE(oldest_confirmation(), 4s)
            << "Keys are valid for four seconds after a confirmation in this test.";
    }
}

TEST_F(domain_reports_test, member_that_cannot_reach_the_store_is_replaced_as_reader)
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
    for (auto& node : vms_) {
        node.core->replicas().announce(replica, clock_.now());
        (void)node.core->tick(clock_.now());
        proxied_request request;
        request.id = node.address;
        request.host = "api.example";
        request.path = "/publish/1";
        request.key = "key-1";
        request.received_at = clock_.now();
        const auto admitted = node.core->admit(request, clock_.now());
        ASSERT_TRUE(admitted.has_value());
        placed += node.core->place(*admitted, request, {}, clock_.now()) ? 1 : 0;
    }
    ASSERT_GT(placed, 5U);
    run(2s);
    for (auto& node : vms_) {
        auto seen = node.core->peers().loads(clock_.now())[replica.id];
        for (const auto& own : node.core->make_report(report_scope::vm, clock_.now()).loads) {
            seen += own.in_flight;
        }
        EXPECT_EQ(seen, placed) << node.address;
        EXPECT_EQ(node.core->peers().known() + 1, vms_.size());
    }
}

} // namespace
} // namespace wagtailhitch
