#include "config/follow.hpp"
#include "config/test_log.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>

namespace wagtailhitch {
namespace {

using testing::HasSubstr;

/// Simulates the followers of one failure domain, the log and the messages between VMs, with a
/// manual clock.
class simulated_domain {
public:
    simulated_domain(const test_keys& keys, std::size_t n, std::uint64_t seed)
        : keys_{keys}, random_{seed}
    {
        for (std::size_t i = 0; i < n; ++i) {
            add();
        }
    }

    struct node {
        vm_id vm;
        std::unique_ptr<config_follower> follower;
        std::optional<log_offset> poll; ///< the long poll's next offset
        time_point polled_at;
        bool alive{true};
        bool log_disconnected{false};
        revision highest{0};
    };

    std::size_t add()
    {
        const vm_id vm{"vm-" + std::to_string(nodes.size())};
        follow_settings settings;
        settings.self = vm;
        settings.seed = nodes.size();
        auto follower =
            std::make_unique<config_follower>(settings, config_fold{keys_.settings()}, clock.now());
        nodes.push_back({vm, std::move(follower), std::nullopt, clock.now()});
        return nodes.size() - 1;
    }

    void run(duration time)
    {
        const auto until = clock.now() + time;
        while (clock.now() < until) {
            clock.advance(step);
            head_history.emplace_back(clock.now(), log.records.size());
            deliver();
            for (auto& n : nodes) {
                if (n.alive) {
                    read_log(n);
                    tick(n);
                }
            }
        }
    }

    /// Submits a change based on the log's latest revision, whatever state the followers have.
    void submit(int weight)
    {
        log.read(submitter_fold_);
        const auto id = "s-" + std::to_string(log.records.size());
        const auto change =
            change_to(id, submitter_fold_, document_with_weight(weight), keys_.ines);
        log.append(encode_change(change).value());
        log.read(submitter_fold_);
    }

    [[nodiscard]] std::size_t following() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            nodes, [](const node& n) { return n.alive && n.follower->following_log(); }));
    }

    [[nodiscard]] bool all_at(revision at) const
    {
        return std::ranges::all_of(nodes, [at](const node& n) {
            return !n.alive || n.follower->fold().current_revision() == at;
        });
    }

    [[nodiscard]] log_offset head_at(time_point at) const
    {
        log_offset out = 0;
        for (const auto& [when, head] : head_history) {
            out = when <= at ? head : out;
        }
        return out;
    }

    node& relay()
    {
        return *std::ranges::find_if(nodes,
                                     [](const node& n) { return n.alive && n.follower->relay(); });
    }

    static constexpr duration step = 50ms;
    manual_clock clock;
    test_config_log log;
    log_offset oldest{0};
    bool log_unreachable{false};
    bool detect_dead_vms{true}; ///< dead VMs leave the membership at once
    std::size_t listed_extra{0};
    duration max_message_delay{100ms}; ///< between VMs
    std::vector<node> nodes;
    std::vector<std::pair<time_point, log_offset>> head_history;

private:
    struct message {
        time_point due;
        vm_id from;
        vm_id to;
        std::variant<records_request, records_message, config_snapshot> body;
    };

    void tick(node& n)
    {
        std::vector<domain_member> live;
        for (const auto& other : nodes) {
            if (other.alive || !detect_dead_vms) {
                live.push_back({other.vm, true});
            }
        }
        config_follower::outputs out;
        n.follower->set_members(live, live.size() - 1 + listed_extra, clock.now(), out);
        n.follower->tick(clock.now(), out);
        carry_out(n, out);
    }

    void read_log(node& n)
    {
        constexpr duration wait = 1s;
        if (!n.poll) {
            return;
        }
        config_follower::outputs out;
        if (log_unreachable || n.log_disconnected) {
            n.follower->on_log_failed(clock.now(), out);
            n.polled_at = clock.now();
        }
        else if (std::max(*n.poll, oldest) < log.records.size() ||
                 clock.now() - n.polled_at >= wait) {
            log_batch batch{
                std::string{config_stream}, oldest, log.records.size(), *n.poll, {}, n.polled_at};
            for (auto i = std::max(*n.poll, oldest); i < log.records.size(); ++i) {
                batch.records.push_back({i, log.records[i]});
            }
            n.poll = batch.head;
            n.polled_at = clock.now();
            n.follower->on_log(batch, clock.now(), out);
        }
        carry_out(n, out);
    }

    void send(const vm_id& from, const vm_id& to, decltype(message::body) body)
    {
        const auto steps = static_cast<std::uint64_t>(max_message_delay / step);
        const auto delay = step * static_cast<int>(random_() % (steps + 1));
        messages_in_flight_.push_back({clock.now() + delay, from, to, std::move(body)});
    }

    void carry_out(node& n, config_follower::outputs& out)
    {
        for (auto& o : out) {
            if (const auto* start = std::get_if<start_following>(&o)) {
                n.poll = start->from;
                n.polled_at = clock.now();
            }
            else if (std::holds_alternative<stop_following>(o)) {
                n.poll.reset();
            }
            else if (auto* request = std::get_if<send_request>(&o)) {
                send(n.vm, request->peer, request->message);
            }
            else if (auto* records = std::get_if<send_records>(&o)) {
                send(n.vm, records->peer, std::move(records->message));
            }
            else if (auto* snapshot = std::get_if<send_snapshot>(&o)) {
                send(n.vm, snapshot->peer, std::move(snapshot->snapshot));
            }
        }
        n.highest = std::max(n.highest, n.follower->fold().current_revision());
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(messages_in_flight_, [&](message& m) {
            const bool now = m.due <= clock.now();
            if (now) {
                due.push_back(std::move(m));
            }
            return now;
        });
        for (auto& m : due) {
            auto& to = *std::ranges::find(nodes, m.to, &node::vm);
            const auto& from = *std::ranges::find(nodes, m.from, &node::vm);
            if (to.alive && from.alive) {
                receive(to, m);
            }
        }
    }

    void receive(node& to, message& m)
    {
        config_follower::outputs out;
        auto& follower = *to.follower;
        if (const auto* request = std::get_if<records_request>(&m.body)) {
            follower.on_request(m.from, *request, clock.now(), out);
        }
        else if (const auto* records = std::get_if<records_message>(&m.body)) {
            follower.on_records(m.from, *records, clock.now(), out);
        }
        else {
            follower.on_snapshot(m.from, std::get<config_snapshot>(m.body), clock.now(), out);
        }
        carry_out(to, out);
    }

    const test_keys& keys_;
    config_fold submitter_fold_{keys_.settings()};
    std::mt19937_64 random_;
    std::vector<message> messages_in_flight_;
};

class config_follower_test : public testing::Test {
protected:
    static const test_keys& keys()
    {
        static const test_keys instance;
        return instance;
    }

    simulated_domain domain_{keys(), 6, 1};
};

// Guards against every VM reading the log, a load that the log cannot serve at the target
// deployment size.
TEST_F(config_follower_test, two_vms_read_the_log_and_all_follow_it)
{
    domain_.run(5s);
    EXPECT_EQ(domain_.following(), 2U);
    domain_.submit(2);
    domain_.run(500ms);
    EXPECT_TRUE(domain_.all_at(1));
    domain_.run(10s);
    for (const auto& n : domain_.nodes) {
        EXPECT_TRUE(n.follower->readiness().ready);
        EXPECT_LE(domain_.clock.now() - *n.follower->confirmed_at(), 3s) << n.vm.value;
    }
    EXPECT_EQ(domain_.following(), 2U);
}

TEST_F(config_follower_test, successor_of_a_dead_relay_reads_the_log)
{
    domain_.run(5s);
    domain_.relay().alive = false;
    domain_.run(2s);
    EXPECT_EQ(domain_.following(), 2U);
    domain_.submit(2);
    domain_.run(1500ms);
    EXPECT_TRUE(domain_.all_at(1));
}

// Guards against a failure domain waiting for dead relays that membership still lists as live.
TEST_F(config_follower_test, silent_relays_are_bypassed_before_membership_removes_them)
{
    domain_.run(5s);
    domain_.detect_dead_vms = false;
    domain_.relay().alive = false;
    domain_.relay().alive = false;
    domain_.submit(2);
    domain_.run(7s);
    EXPECT_TRUE(domain_.all_at(1));
    EXPECT_GE(domain_.following(), 1U);
}

// Guards against relays that cannot reach the log leaving their failure domain outdated.
TEST_F(config_follower_test, relays_that_are_cut_off_from_the_log_learn_from_others)
{
    domain_.run(5s);
    for (auto& n : domain_.nodes) {
        n.log_disconnected = n.follower->relay();
    }
    domain_.submit(2);
    domain_.run(8s);
    EXPECT_TRUE(domain_.all_at(1));
    for (const auto& n : domain_.nodes) {
        EXPECT_FALSE(n.follower->cut_off(domain_.clock.now())) << n.vm.value;
    }
}

TEST_F(config_follower_test, vm_is_cut_off_nine_seconds_after_losing_the_log)
{
    domain_.run(5s);
    domain_.log_unreachable = true;
    domain_.run(7s);
    for (const auto& n : domain_.nodes) {
        EXPECT_FALSE(n.follower->cut_off(domain_.clock.now()));
    }
    domain_.run(5s);
    for (const auto& n : domain_.nodes) {
        EXPECT_TRUE(n.follower->cut_off(domain_.clock.now()));
        EXPECT_TRUE(n.follower->readiness().ready);
    }
    domain_.log_unreachable = false;
    domain_.run(4s);
    for (const auto& n : domain_.nodes) {
        EXPECT_FALSE(n.follower->cut_off(domain_.clock.now()));
    }
}

// Guards against a failure domain that cannot replace a VM during a log outage.
TEST_F(config_follower_test, vm_boots_from_its_peers_while_the_log_is_unreachable)
{
    domain_.submit(2);
    domain_.run(5s);
    domain_.log_unreachable = true;
    domain_.run(20s);
    const auto new_vm = domain_.add();
    domain_.run(5s);
    const auto& booted = *domain_.nodes[new_vm].follower;
    EXPECT_TRUE(booted.readiness().ready) << booted.readiness().reason;
    EXPECT_EQ(booted.fold().current_revision(), 1U);
    EXPECT_TRUE(booted.cut_off(domain_.clock.now()));
}

// Guards against a VM serving an empty or outdated configuration because it has no peer that could
// report a newer one.
TEST_F(config_follower_test, vm_without_log_and_peers_stays_not_ready)
{
    simulated_domain alone{keys(), 1, 2};
    alone.log_unreachable = true;
    alone.run(60s);
    const auto readiness = alone.nodes[0].follower->readiness();
    EXPECT_FALSE(readiness.ready);
    EXPECT_THAT(readiness.reason, HasSubstr("no peer"));
}

TEST_F(config_follower_test, booting_vms_do_not_confirm_each_other)
{
    simulated_domain empty{keys(), 4, 3};
    empty.log_unreachable = true;
    empty.run(60s);
    for (const auto& n : empty.nodes) {
        EXPECT_FALSE(n.follower->readiness().ready);
        EXPECT_THAT(n.follower->readiness().reason, HasSubstr("too few peers"));
    }
}

struct boot_case {
    std::size_t peers;
    std::size_t listed_extra;
    bool ready;
};

TEST_F(config_follower_test, peers_needed_to_boot_depend_on_the_vms_listed)
{
    for (const auto& c : {boot_case{1, 0, true}, boot_case{1, 1, false}, boot_case{2, 3, true}}) {
        simulated_domain domain{keys(), c.peers, 4};
        domain.run(5s);
        domain.log_unreachable = true;
        domain.listed_extra = c.listed_extra;
        domain.run(10s); // a peer that has just read the log would be enough on its own
        const auto new_vm = domain.add();
        domain.run(10s);
        EXPECT_EQ(domain.nodes[new_vm].follower->readiness().ready, c.ready)
            << c.peers << " peers, " << c.listed_extra << " more listed";
    }
}

// Guards against a VM that never becomes ready because the records it needs have expired.
TEST_F(config_follower_test, expired_records_are_replaced_by_a_peers_snapshot)
{
    domain_.submit(2);
    domain_.run(5s);
    domain_.submit(3);
    domain_.run(2s);
    domain_.oldest = 2;
    const auto new_vm = domain_.add();
    domain_.run(3s);
    const auto& booted = *domain_.nodes[new_vm].follower;
    EXPECT_TRUE(booted.readiness().ready) << booted.readiness().reason;
    EXPECT_EQ(booted.fold().current_revision(), 2U);
    EXPECT_TRUE(same_state(booted.fold(), domain_.nodes[0].follower->fold()));
}

TEST_F(config_follower_test, expired_records_without_any_snapshot_keep_a_vm_not_ready)
{
    simulated_domain alone{keys(), 1, 5};
    alone.submit(2);
    alone.oldest = 1;
    alone.run(10s);
    EXPECT_THAT(alone.nodes[0].follower->readiness().reason, HasSubstr("no snapshot"));
}

// Guards against a message with no, an outdated or an unknown correlation id confirming the state.
TEST_F(config_follower_test, unasked_answer_confirms_nothing)
{
    follow_settings settings;
    settings.self = vm_id{"a"};
    config_follower follower{settings, config_fold{keys().settings()}, domain_.clock.now()};
    config_follower::outputs out;
    records_message message;
    message.ready = true;
    message.confirmed_age = 0ms;
    for (const auto correlation_id :
         {std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{0},
          std::optional<std::uint64_t>{~0ULL}}) {
        message.correlation_id = correlation_id;
        follower.on_records(vm_id{"b"}, message, domain_.clock.now(), out);
    }
    EXPECT_FALSE(follower.confirmed_at());
    EXPECT_FALSE(follower.readiness().ready);
}

// Guards against a stale VM that considers itself current, a decreasing revision, and a failure
// domain that does not recover, under random VM failures, log disconnections and slow messages.
RC_GTEST_FIXTURE_PROP(config_follower_test, confirmation_is_never_newer_than_the_truth,
                      (std::uint64_t seed))
{
    std::mt19937_64 random{seed};
    simulated_domain domain{keys(), 2 + random() % 4, seed};
    domain.max_message_delay = std::array{50ms, 500ms, 4000ms}.at(random() % 3);
    domain.detect_dead_vms = random() % 2 == 0;
    std::map<vm_id, revision> last;
    for (int round = 0; round < 12; ++round) {
        auto& n = domain.nodes[random() % domain.nodes.size()];
        switch (random() % 6) {
        case 0:
            n.log_disconnected = !n.log_disconnected;
            break;
        case 1:
            n.alive = domain.nodes.size() < 3 || random() % 2 == 0;
            break;
        case 2:
            domain.log_unreachable = !domain.log_unreachable;
            break;
        case 3:
            domain.nodes.size() < 7 ? domain.add() : 0;
            break;
        default:
            domain.submit(1 + static_cast<int>(random() % 5));
            break;
        }
        domain.run(std::chrono::milliseconds{200 + random() % 4000});
        for (const auto& v : domain.nodes) {
            const auto& follower = *v.follower;
            RC_ASSERT(follower.fold().current_revision() >= last[v.vm]);
            last[v.vm] = follower.fold().current_revision();
            if (follower.confirmed_at()) {
                RC_ASSERT(follower.fold().folded_through() >=
                          domain.head_at(*follower.confirmed_at() - simulated_domain::step));
            }
        }
    }
    domain.log_unreachable = false;
    for (auto& n : domain.nodes) {
        n.log_disconnected = false;
    }
    domain.run(20s);
    const auto head = domain.log.records.size();
    for (const auto& n : domain.nodes) {
        RC_ASSERT(!n.alive ||
                  (n.follower->readiness().ready && n.follower->fold().folded_through() == head));
    }
}

} // namespace
} // namespace wagtailhitch
