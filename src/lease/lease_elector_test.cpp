#include "base/test_log.hpp"
#include "lease/lease_elector.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <memory>

namespace wagtailhitch {
namespace {

const std::string duty = "rollout";

class lease_elector_test : public testing::Test {
protected:
    std::optional<lease_record> tick(lease_elector& elector, duration by = 0s)
    {
        clock_.advance(by);
        return elector.tick(table_, candidates_, clock_.now());
    }

    void apply_record(const lease_record& record)
    {
        const auto offset = table_.next_offset();
        const auto verdict = table_.apply(offset, record);
        a_.on_record(offset, record, verdict, clock_.now());
        b_.on_record(offset, record, verdict, clock_.now());
    }

    // a_ acquires at the current time.
    void acquire()
    {
        candidates_ = {vm_id{"a-1"}};
        const auto record = tick(a_);
        ASSERT_TRUE(record.has_value());
        apply_record(*record);
        candidates_ = {vm_id{"a-1"}, vm_id{"b-1"}};
    }

    manual_clock clock_;
    lease_table table_;
    std::vector<vm_id> candidates_{vm_id{"a-1"}, vm_id{"b-1"}};
    lease_elector a_{duty, {vm_id{"a-1"}, 1}, {}};
    lease_elector b_{duty, {vm_id{"b-1"}, 1}, {}};
};

// Guards against authority that counts from a late read-back instead of the time before sending.
TEST_F(lease_elector_test, authority_counts_from_the_time_before_sending)
{
    candidates_ = {vm_id{"a-1"}};
    const auto record = tick(a_);
    ASSERT_TRUE(record.has_value());
    clock_.advance(3s);
    EXPECT_FALSE(a_.authority(clock_.now()).has_value());
    apply_record(*record);
    EXPECT_EQ(a_.authority(clock_.now()), fencing_number{1});
    // Term 6 s less margin 1 s less 1% drift is 4.95 s after sending.
    EXPECT_TRUE(a_.authority(clock_.now() + 1949ms).has_value());
    EXPECT_FALSE(a_.authority(clock_.now() + 1950ms).has_value());
}

// Guards against a holder that was paused and acts on a lease that has expired.
TEST_F(lease_elector_test, paused_holder_finds_its_authority_lapsed)
{
    acquire();
    EXPECT_TRUE(a_.authority(clock_.now()).has_value());
    clock_.advance(20s);
    EXPECT_FALSE(a_.authority(clock_.now()).has_value());
    EXPECT_TRUE(a_.lost(clock_.now()));
}

TEST_F(lease_elector_test, renewal_keeps_authority_and_fencing_number)
{
    acquire();
    for (int i = 0; i < 20; ++i) {
        const auto record = tick(a_, 2s);
        ASSERT_TRUE(record.has_value());
        EXPECT_EQ(record->operation, lease_operation::renew);
        apply_record(*record);
        EXPECT_EQ(a_.authority(clock_.now()), fencing_number{1});
        EXPECT_FALSE(tick(a_).has_value());
    }
}

// Guards the rule of design section 3.7 that the holder's authority ends before another VM may
// acquire the lease.
TEST_F(lease_elector_test, contender_waits_for_term_and_margin_after_the_latest_record)
{
    acquire();
    candidates_ = {vm_id{"b-1"}};
    EXPECT_FALSE(tick(b_, 7069ms).has_value());
    const auto record = tick(b_, 1ms);
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->operation, lease_operation::acquire);
    EXPECT_EQ(record->applied_up_to, log_offset{1});
}

TEST_F(lease_elector_test, append_whose_reply_was_lost_is_learned_from_the_stream)
{
    candidates_ = {vm_id{"a-1"}};
    const auto first = tick(a_);
    const auto second = tick(a_, 2s);
    ASSERT_TRUE(first && second);
    apply_record(*first);
    apply_record(*second);
    EXPECT_EQ(a_.authority(clock_.now()), fencing_number{1});
    EXPECT_EQ(a_.authority_until(), clock_.now() - 2s + 4950ms);
}

TEST_F(lease_elector_test, loser_of_a_race_gets_no_authority)
{
    acquire();
    clock_.advance(10s);
    const auto from_a = tick(a_);
    const auto from_b = tick(b_);
    ASSERT_TRUE(from_a && from_b);
    apply_record(*from_b);
    apply_record(*from_a);
    EXPECT_EQ(b_.authority(clock_.now()), fencing_number{2});
    EXPECT_FALSE(a_.authority(clock_.now()).has_value());
}

TEST_F(lease_elector_test, released_lease_is_taken_over_without_waiting)
{
    acquire();
    a_.resign();
    EXPECT_FALSE(a_.authority(clock_.now()).has_value());
    const auto record = tick(a_);
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->operation, lease_operation::release);
    apply_record(*record);
    candidates_ = {vm_id{"b-1"}};
    EXPECT_TRUE(tick(b_).has_value());
    EXPECT_FALSE(tick(a_, 1min).has_value()) << "The VM contends again after resigning.";
}

// Guards against an acquire while a renewal of the holder is among the records that expired unread.
TEST_F(lease_elector_test, contender_waits_again_after_a_gap)
{
    acquire();
    candidates_ = {vm_id{"b-1"}};
    EXPECT_FALSE(tick(b_).has_value());
    clock_.advance(1min);
    table_.start(100);
    EXPECT_EQ(table_.find(duty), nullptr);
    EXPECT_FALSE(tick(b_).has_value());
    EXPECT_FALSE(tick(b_, 7069ms).has_value());
    EXPECT_TRUE(tick(b_, 1ms).has_value());
}

// Guards against authority that returns while a release is still being appended.
TEST_F(lease_elector_test, resumed_holder_waits_for_an_accepted_renewal)
{
    acquire();
    a_.resign();
    const auto release = tick(a_);
    a_.resume();
    EXPECT_FALSE(a_.authority(clock_.now()).has_value());
    const auto renewal = tick(a_, 2s);
    ASSERT_TRUE(release && renewal);
    EXPECT_EQ(renewal->operation, lease_operation::renew);
    apply_record(*renewal);
    apply_record(*release);
    EXPECT_EQ(a_.authority(clock_.now()), fencing_number{1});
}

// Guards against all VMs appending at once when a lease expires.
TEST_F(lease_elector_test, contenders_append_at_different_times)
{
    candidates_.clear();
    for (int i = 0; i < 26; ++i) {
        candidates_.emplace_back("vm-" + std::to_string(i));
    }
    std::size_t at_once = 0;
    std::size_t later = 0;
    for (const auto& vm : candidates_) {
        lease_elector elector{duty, {vm, 1}, {}};
        const bool first = elector.tick(table_, candidates_, clock_.now()).has_value();
        const bool second = elector.tick(table_, candidates_, clock_.now() + 2s).has_value();
        at_once += first ? 1 : 0;
        later += second && !first ? 1 : 0;
    }
    EXPECT_EQ(at_once, 1U);
    EXPECT_EQ(later, 25U);
    lease_elector non_candidate{duty, {vm_id{"other"}, 1}, {}};
    EXPECT_FALSE(non_candidate.tick(table_, candidates_, clock_.now() + 1h).has_value());
}

// ---- Random histories of VMs that share a log and whose clocks run at different rates.

constexpr std::size_t vm_count = 3;
constexpr std::array<double, vm_count> clock_rates{0.995, 1.0, 1.005};
constexpr duration retention = 15s;

struct simulated_vm {
    process_id id;
    lease_table table;
    std::unique_ptr<lease_elector> elector;
    bool frozen{false};
};

class lease_history {
public:
    lease_history()
    {
        for (std::size_t n = 0; n < vm_count; ++n) {
            candidates_.emplace_back("vm-" + std::to_string(n));
            boot(n);
        }
    }

    void step(std::uint32_t word)
    {
        const auto argument = word >> 8U;
        const auto n = (word >> 4U) % vm_count;
        switch (word % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
            tick(n, argument);
            break;
        case 4:
        case 5:
        case 6:
        case 7:
            read(n, argument % 5);
            break;
        case 8:
            log_.deliver_delayed();
            break;
        case 9:
            vms_.at(n).frozen = argument % 3 == 0;
            break;
        case 10:
            if (argument % 4 == 0) {
                boot(n);
            }
            break;
        case 11:
            if (argument % 4 == 0) {
                vms_.at(n).elector->resign();
            }
            if (argument % 4 == 1) {
                vms_.at(n).elector->resume();
            }
            break;
        default:
            advance(std::chrono::milliseconds{argument % 1500});
        }
        check();
    }

    // Without faults, one VM has authority within two terms.
    void settle()
    {
        for (int i = 0; i < 200; ++i) {
            advance(100ms);
            for (std::size_t n = 0; n < vm_count; ++n) {
                vms_.at(n).frozen = false;
                vms_.at(n).elector->resume();
                tick(n, 0);
                read(n, 100);
                check();
            }
        }
        RC_ASSERT(holders() == 1U);
    }

    [[nodiscard]] std::size_t changes() const { return changes_; }

private:
    [[nodiscard]] time_point local(std::size_t n) const
    {
        const auto real = static_cast<double>((clock_.now() - time_point{}).count());
        return time_point{duration{static_cast<duration::rep>(real * clock_rates.at(n))}};
    }

    void boot(std::size_t n)
    {
        auto& vm = vms_.at(n);
        vm = {};
        vm.id = {candidates_.at(n), ++incarnation_};
        vm.table.start(oldest_);
        vm.elector = std::make_unique<lease_elector>(duty, vm.id, lease_settings{});
    }

    void tick(std::size_t n, std::uint32_t argument)
    {
        auto& vm = vms_.at(n);
        if (vm.frozen) {
            return;
        }
        if (const auto record = vm.elector->tick(vm.table, candidates_, local(n))) {
            // Up to half of the appends fail in one of the three ways; the reply is not used.
            const auto fate = argument % 2 == 0 ? append_outcome::stored
                                                : static_cast<append_outcome>(argument / 2 % 4);
            log_.append(encode_lease_record(*record), fate);
        }
    }

    void read(std::size_t n, std::uint32_t records)
    {
        auto& vm = vms_.at(n);
        if (!vm.frozen && vm.table.next_offset() < oldest_) {
            vm.table.start(oldest_);
        }
        while (!vm.frozen && vm.table.next_offset() < log_.head() && records-- > 0) {
            const auto offset = vm.table.next_offset();
            const auto record = decode_lease_record(log_.at(offset));
            RC_ASSERT(record.has_value());
            const auto verdict = vm.table.apply(offset, *record);
            vm.elector->on_record(offset, *record, verdict, local(n));
        }
    }

    // Records expire after the retention; a VM that boots later does not see them.
    void advance(duration by)
    {
        clock_.advance(by);
        while (appended_.size() < log_.head()) {
            appended_.push_back(clock_.now());
        }
        while (oldest_ < appended_.size() && appended_[oldest_] + retention < clock_.now()) {
            ++oldest_;
        }
    }

    [[nodiscard]] std::size_t holders() const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < vm_count; ++n) {
            count += vms_.at(n).elector->authority(local(n)) ? 1 : 0;
        }
        return count;
    }

    void check()
    {
        RC_ASSERT(holders() <= 1U);
        for (std::size_t n = 0; n < vm_count; ++n) {
            const auto fencing = vms_.at(n).elector->authority(local(n));
            if (!fencing) {
                continue;
            }
            RC_ASSERT(*fencing >= highest_);
            RC_ASSERT(*fencing > highest_ || vms_.at(n).id == holder_);
            changes_ += *fencing > highest_ ? 1 : 0;
            highest_ = *fencing;
            holder_ = vms_.at(n).id;
        }
    }

    manual_clock clock_;
    test_log log_;
    std::vector<time_point> appended_;
    log_offset oldest_{0};
    std::vector<vm_id> candidates_;
    std::array<simulated_vm, vm_count> vms_;
    incarnation incarnation_{0};
    fencing_number highest_{0};
    process_id holder_;
    std::size_t changes_{0};
};

// Guards against two holders at the same instant, and against a fencing number that decreases.
RC_GTEST_FIXTURE_PROP(lease_elector_test, at_most_one_vm_has_authority_at_any_instant, ())
{
    const auto words = *rc::gen::container<std::vector<std::uint32_t>>(
        500, rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
    lease_history history;
    for (const auto word : words) {
        history.step(word);
    }
    history.settle();
    RC_CLASSIFY(history.changes() >= 3, "three holders or more");
}

} // namespace
} // namespace wagtailhitch
