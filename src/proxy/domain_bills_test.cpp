#include "proxy/domain_bills.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace wagtailhitch {
namespace {

/// Simulates the members of one failure domain and the store. The first live member is the writer.
class domain_bills_test : public testing::Test {
protected:
    struct member {
        std::string address;
        domain_bills bills;
        bool alive{true};
    };

    domain_bills_test()
    {
        for (const char* name : {"vm-1", "vm-2", "vm-3"}) {
            const std::string address = std::string{name} + ":1";
            members_.push_back({address, {{vm_id{name}, 1}, address, {}}});
        }
    }

    void add(std::size_t vm)
    {
        const std::string name = "vm-" + std::to_string(vm + 1);
        members_[vm].bills.add({{vm_id{name}, 1, ++sequence_}, team_id{"t"}, {}, {}}, clock_.now());
    }

    [[nodiscard]] std::optional<std::string> writer_of(std::size_t vm) const
    {
        for (std::size_t i = 0; i < vm; ++i) {
            if (members_[i].alive) {
                return members_[i].address;
            }
        }
        return std::nullopt;
    }

    void deliver(const datagram& message)
    {
        if (lose_messages_) {
            return;
        }
        for (auto& it : members_) {
            if (it.address != message.address || !it.alive) {
                continue;
            }
            if (const auto bills = decode_submitted_bills(message.data)) {
                it.bills.on_message(*bills);
            }
            else if (const auto stored = decode_stored_bills(message.data)) {
                it.bills.on_message(*stored, clock_.now());
            }
        }
    }

    void append(member& vm, const bill_append& batch)
    {
        ++appends_;
        if (store_answers_) {
            const auto bills = decode_bill_batch(batch.data);
            for (const auto& subject : bills.value()) {
                stored_.insert(subject.request.sequence);
            }
        }
        for (const auto& message : vm.bills.on_appended(batch.id, store_answers_, clock_.now())) {
            deliver(message);
        }
    }

    void run(duration time)
    {
        constexpr duration step = 200ms;
        for (duration passed{0}; passed < time; passed += step) {
            clock_.advance(step);
            for (std::size_t i = 0; i < members_.size(); ++i) {
                if (!members_[i].alive) {
                    continue;
                }
                for (const auto& it : members_[i].bills.tick(writer_of(i), clock_.now())) {
                    if (const auto* message = std::get_if<datagram>(&it)) {
                        deliver(*message);
                    }
                    else {
                        append(members_[i], std::get<bill_append>(it));
                    }
                }
            }
        }
    }

    manual_clock clock_;
    std::vector<member> members_;
    std::uint64_t sequence_{0};
    std::set<std::uint64_t> stored_;
    int appends_{0};
    bool store_answers_{true};
    bool lose_messages_{false};
};

TEST_F(domain_bills_test, bills_of_all_members_are_appended_together)
{
    run(6s);
    for (int i = 0; i < 30; ++i) {
        add(0);
        add(1);
        add(2);
        run(1s);
    }
    run(10s);
    EXPECT_EQ(stored_.size(), 90U);
    EXPECT_LE(appends_, 9) << "The domain makes one append every five seconds.";
    for (const auto& it : members_) {
        EXPECT_TRUE(it.bills.drained());
    }
}

TEST_F(domain_bills_test, submitted_bills_of_a_lost_member_are_appended_by_the_writer)
{
    run(1s);
    add(2);
    run(1200ms);
    members_[2].alive = false;
    run(10s);
    EXPECT_EQ(stored_.size(), 1U);
}

TEST_F(domain_bills_test, bills_at_a_lost_writer_are_submitted_to_the_next_one)
{
    run(6s);
    add(2);
    run(1200ms);
    members_[0].alive = false;
    run(10s);
    EXPECT_EQ(stored_.size(), 1U);
    EXPECT_TRUE(members_[2].bills.drained());
}

TEST_F(domain_bills_test, lost_messages_are_repeated)
{
    lose_messages_ = true;
    add(1);
    run(5s);
    EXPECT_TRUE(stored_.empty());
    lose_messages_ = false;
    run(20s);
    EXPECT_EQ(stored_.size(), 1U);
    EXPECT_TRUE(members_[1].bills.drained());
}

TEST_F(domain_bills_test, writer_that_stores_nothing_for_long_is_bypassed)
{
    lose_messages_ = true;
    add(1);
    run(40s);
    EXPECT_EQ(stored_.size(), 1U);
    EXPECT_TRUE(members_[1].bills.drained());
}

TEST_F(domain_bills_test, stopping_member_appends_its_own_bills_at_once)
{
    run(6s);
    add(1);
    run(1200ms);
    members_[1].bills.begin_stop();
    run(400ms);
    EXPECT_EQ(stored_.size(), 1U);
    EXPECT_TRUE(members_[1].bills.drained());
}

TEST_F(domain_bills_test, stopping_writer_stores_what_members_have_submitted)
{
    run(6s);
    add(2);
    run(1200ms);
    members_[0].bills.begin_stop();
    run(400ms);
    EXPECT_EQ(stored_.size(), 1U);
}

TEST_F(domain_bills_test, only_the_writer_retries_while_the_store_fails)
{
    store_answers_ = false;
    for (int i = 0; i < 12; ++i) {
        add(0);
        add(1);
        add(2);
        run(1s);
    }
    EXPECT_LE(appends_, 4);
    store_answers_ = true;
    run(20s);
    EXPECT_EQ(stored_.size(), 36U);
}

TEST_F(domain_bills_test, answer_for_an_earlier_incarnation_is_ignored)
{
    members_[1].alive = false;
    lose_messages_ = true;
    add(1);
    (void)members_[1].bills.tick(members_[0].address, clock_.now());
    members_[1].bills.on_message({{vm_id{"vm-2"}, 7}, {1, 2, 3}}, clock_.now());
    EXPECT_FALSE(members_[1].bills.drained());
}

TEST_F(domain_bills_test, messages_round_trip)
{
    const submitted_bills submitted{{vm_id{"vm-2"}, 7}, "10.0.0.2:7340", 9, {"\x00\xff", 2}};
    EXPECT_EQ(decode_submitted_bills(encode_submitted_bills(submitted)), submitted);
    const stored_bills stored{{vm_id{"vm-2"}, 7}, {1, 5}};
    EXPECT_EQ(decode_stored_bills(encode_stored_bills(stored)), stored);
    EXPECT_FALSE(decode_submitted_bills(encode_stored_bills(stored)).has_value());
    EXPECT_FALSE(decode_stored_bills("").has_value());
}

RC_GTEST_PROP(domain_bills_property, corrupt_submission_is_rejected_or_decoded_safely, ())
{
    std::string data = encode_submitted_bills({{vm_id{"vm-2"}, 7}, "10.0.0.2:7340", 9, "bills"});
    const auto at = *rc::gen::inRange<std::size_t>(0, data.size());
    data[at] = *rc::gen::arbitrary<char>();
    data.resize(*rc::gen::inRange<std::size_t>(0, data.size() + 1));
    const auto decoded = decode_submitted_bills(data);
    RC_CLASSIFY(decoded.has_value(), "readable");
}

} // namespace
} // namespace wagtailhitch
