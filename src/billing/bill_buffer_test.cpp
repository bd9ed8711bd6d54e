#include "base/test_log.hpp"
#include "billing/bill_buffer.hpp"
#include "billing/bill_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>

namespace wagtailhitch {
namespace {

bill make_bill(const process_id& by, std::uint64_t sequence)
{
    return {{by.vm, by.run, sequence},
            team_id{"bulletins"},
            bill_outcome::answered,
            {{version_id{"n-3"}, upstream_id{"e-1"}, 10, 20, static_cast<micro_cost>(sequence)}}};
}

template<typename T> std::vector<T> outputs_of_type(const std::vector<bill_output>& outputs)
{
    std::vector<T> out;
    for (const auto& it : outputs) {
        if (const auto* value = std::get_if<T>(&it)) {
            out.push_back(*value);
        }
    }
    return out;
}

class bill_buffer_test : public testing::Test {
protected:
    std::vector<bill_output> tick(duration by = 0s)
    {
        clock_.advance(by);
        return buffer_.tick(clock_.now());
    }

    void ack(const process_id& peer, std::uint64_t id, std::vector<bill_output>& out)
    {
        buffer_.on_ack(peer, id, out);
    }

    manual_clock clock_;
    process_id self_{vm_id{"a-1"}, 1};
    process_id p_{vm_id{"a-2"}, 1};
    process_id q_{vm_id{"a-3"}, 1};
    process_id r_{vm_id{"a-4"}, 1};
    bill_buffer buffer_{self_, {}};
};

TEST_F(bill_buffer_test, first_ack_releases_the_end_of_the_answer)
{
    buffer_.set_peers({p_, q_});
    buffer_.add(make_bill(self_, 1), clock_.now());
    const auto copies = outputs_of_type<bill_copy_batch>(tick());
    ASSERT_EQ(copies.size(), 2U);
    std::vector<bill_output> out;
    ack(copies[0].to, copies[0].id, out);
    ASSERT_EQ(outputs_of_type<bill_release>(out).size(), 1U);
    EXPECT_TRUE(outputs_of_type<bill_release>(out)[0].copied);
    out.clear();
    ack(copies[1].to, copies[1].id, out);
    EXPECT_TRUE(out.empty());
    EXPECT_TRUE(outputs_of_type<bill_release>(tick(1s)).empty());
}

// Guards latency: peers that do not answer hold the end of an answer for 50 ms at most.
TEST_F(bill_buffer_test, answer_is_released_uncopied_after_50_ms)
{
    buffer_.set_peers({p_, q_});
    buffer_.add(make_bill(self_, 1), clock_.now());
    EXPECT_TRUE(outputs_of_type<bill_release>(tick(49ms)).empty());
    const auto releases = outputs_of_type<bill_release>(tick(1ms));
    ASSERT_EQ(releases.size(), 1U);
    EXPECT_FALSE(releases[0].copied);
    // Without any peer there is nothing to wait for.
    buffer_.set_peers({});
    buffer_.add(make_bill(self_, 2), clock_.now());
    EXPECT_EQ(outputs_of_type<bill_release>(tick()).size(), 1U);
}

TEST_F(bill_buffer_test, copies_of_several_bills_go_in_one_batch_every_5_ms)
{
    buffer_.set_peers({p_});
    tick();
    for (std::uint64_t n = 1; n <= 10; ++n) {
        buffer_.add(make_bill(self_, n), clock_.now());
        EXPECT_TRUE(outputs_of_type<bill_copy_batch>(tick(100us)).empty());
    }
    const auto copies = outputs_of_type<bill_copy_batch>(tick(5ms));
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_EQ(split_bill_batch(copies[0].data)->size(), 10U);
}

// Guards against a copy that is lost with a connection and never sent again.
TEST_F(bill_buffer_test, unacknowledged_copy_is_sent_again_with_growing_intervals)
{
    buffer_.set_peers({p_});
    buffer_.add(make_bill(self_, 1), clock_.now());
    const auto first = outputs_of_type<bill_copy_batch>(tick());
    const auto again = outputs_of_type<bill_copy_batch>(tick(1s));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].id, first[0].id);
    EXPECT_TRUE(outputs_of_type<bill_copy_batch>(tick(1s)).empty());
    EXPECT_EQ(outputs_of_type<bill_copy_batch>(tick(1s)).size(), 1U);
}

TEST_F(bill_buffer_test, bills_are_copied_to_another_peer_when_a_holder_is_gone)
{
    buffer_.set_peers({p_, q_});
    buffer_.add(make_bill(self_, 1), clock_.now());
    std::vector<bill_output> out;
    for (const auto& copy : outputs_of_type<bill_copy_batch>(tick())) {
        ack(copy.to, copy.id, out);
    }
    // A restarted VM has lost its copies.
    const process_id restarted{p_.vm, 2};
    buffer_.set_peers({restarted, q_});
    const auto copies = outputs_of_type<bill_copy_batch>(tick(5ms));
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_EQ(copies[0].to, restarted);
}

// Guards against a lost bill, and against a second bill under another id, after a lost reply.
TEST_F(bill_buffer_test, append_without_reply_is_repeated_with_the_same_data)
{
    buffer_.add(make_bill(self_, 1), clock_.now());
    const auto first = outputs_of_type<bill_append>(tick());
    ASSERT_EQ(first.size(), 1U);
    buffer_.add(make_bill(self_, 2), clock_.now());
    const auto next = outputs_of_type<bill_append>(tick(2s));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(decode_bill_batch(next[0].data)->at(0).request.sequence, 2U);
    const auto again = outputs_of_type<bill_append>(tick(3s));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].id, first[0].id);
    EXPECT_EQ(again[0].data, first[0].data);
    std::vector<bill_output> out;
    buffer_.on_append_result(first[0].id, true, clock_.now(), out);
    buffer_.on_append_result(next[0].id, true, clock_.now(), out);
    EXPECT_EQ(buffer_.own(), 0U);
    EXPECT_EQ(buffer_.bytes(), 0U);
}

TEST_F(bill_buffer_test, records_stay_below_the_bound_of_the_log)
{
    for (std::uint64_t n = 1; n <= 5000; ++n) {
        buffer_.add(make_bill(self_, n), clock_.now());
    }
    const auto appends = outputs_of_type<bill_append>(tick());
    ASSERT_EQ(appends.size(), 4U);
    for (const auto& append : appends) {
        EXPECT_LE(append.data.size(), 65'536U);
    }
}

TEST_F(bill_buffer_test, holders_drop_their_copies_when_the_bill_is_on_the_stream)
{
    buffer_.set_peers({p_});
    bill_buffer holder{p_, {}};
    buffer_.add(make_bill(self_, 1), clock_.now());
    const auto outputs = tick();
    const auto copy = outputs_of_type<bill_copy_batch>(outputs).at(0);
    EXPECT_TRUE(holder.hold_copies(copy.data, clock_.now()));
    EXPECT_EQ(holder.held(), 1U);
    std::vector<bill_output> out;
    ack(p_, copy.id, out);
    buffer_.on_append_result(outputs_of_type<bill_append>(outputs).at(0).id, true, clock_.now(),
                             out);
    const auto done = outputs_of_type<bill_done>(tick(5ms));
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(outputs_of_type<bill_done>(tick(1s)).size(), 1U) << "A lost notice was not repeated.";
    holder.drop_copies(self_, done[0].sequences);
    EXPECT_EQ(holder.held(), 0U);
    EXPECT_EQ(holder.bytes(), 0U);
    ack(p_, done[0].id, out);
    EXPECT_TRUE(tick(10s).empty());
}

TEST_F(bill_buffer_test, holder_appends_the_bills_of_a_removed_incarnation)
{
    const auto data = encode_bill_batch({encode_bill(make_bill(p_, 1))});
    EXPECT_TRUE(buffer_.hold_copies(data, clock_.now()));
    EXPECT_TRUE(outputs_of_type<bill_append>(tick(10s)).empty());
    buffer_.on_process_ended(p_);
    auto appends = outputs_of_type<bill_append>(tick(2s));
    ASSERT_EQ(appends.size(), 1U);
    EXPECT_EQ(decode_bill_batch(appends[0].data)->at(0), make_bill(p_, 1));
    // A copy that arrives after its owner's removal is appended too.
    buffer_.hold_copies(encode_bill_batch({encode_bill(make_bill(p_, 2))}), clock_.now());
    appends = outputs_of_type<bill_append>(tick(2s));
    ASSERT_EQ(appends.size(), 1U);
    std::vector<bill_output> out;
    buffer_.on_stream(data, out);
    EXPECT_EQ(buffer_.held(), 1U);
}

// Guards against copies that are never dropped after a lost notice and fill the buffer.
TEST_F(bill_buffer_test, copy_that_is_held_for_an_hour_is_appended)
{
    buffer_.hold_copies(encode_bill_batch({encode_bill(make_bill(p_, 1))}), clock_.now());
    EXPECT_TRUE(outputs_of_type<bill_append>(tick(59min)).empty());
    EXPECT_EQ(outputs_of_type<bill_append>(tick(1min)).size(), 1U);
}

TEST_F(bill_buffer_test, full_buffer_refuses_copies_and_takes_bills_of_accepted_requests)
{
    bill_buffer_settings settings;
    settings.maximum_bytes = 2000;
    bill_buffer buffer{self_, settings};
    std::uint64_t n = 0;
    while (!buffer.full()) {
        buffer.add(make_bill(self_, ++n), clock_.now());
    }
    EXPECT_FALSE(
        buffer.hold_copies(encode_bill_batch({encode_bill(make_bill(p_, 1))}), clock_.now()));
    buffer.add(make_bill(self_, ++n), clock_.now());
    EXPECT_EQ(buffer.own(), n);
}

// Guards invariants 4 and 9 when a VM is stopped while the log is unavailable.
TEST_F(bill_buffer_test, planned_stop_waits_until_peers_or_the_log_hold_every_bill)
{
    buffer_.set_peers({p_, q_});
    buffer_.hold_copies(encode_bill_batch({encode_bill(make_bill(r_, 1))}), clock_.now());
    buffer_.on_process_ended(r_);
    buffer_.add(make_bill(self_, 1), clock_.now());
    buffer_.begin_stop();
    EXPECT_FALSE(buffer_.drained());
    const auto outputs = tick();
    EXPECT_EQ(outputs_of_type<bill_append>(outputs).size(), 1U)
        << "The append waited for its interval.";
    const auto copies = outputs_of_type<bill_copy_batch>(outputs);
    ASSERT_EQ(copies.size(), 2U);
    EXPECT_EQ(split_bill_batch(copies[0].data)->size(), 2U);
    std::vector<bill_output> out;
    ack(copies[0].to, copies[0].id, out);
    EXPECT_FALSE(buffer_.drained());
    ack(copies[1].to, copies[1].id, out);
    EXPECT_TRUE(buffer_.drained());
}

// Random histories of five VMs, of which at most two are lost.

constexpr std::size_t vm_count = 5;

struct message {
    process_id from;
    process_id to;
    bill_output body;
};

struct simulated_vm {
    process_id id;
    std::unique_ptr<bill_buffer> buffer;
    std::uint64_t next_bill{1};
    bool dead{false};
    bool frozen{false};
};

class bill_history {
public:
    bill_history()
    {
        for (std::size_t n = 0; n < vm_count; ++n) {
            auto& vm = vms_.at(n);
            vm.id = {vm_id{"vm-" + std::to_string(n)}, 1};
            vm.buffer = std::make_unique<bill_buffer>(vm.id, bill_buffer_settings{});
        }
        update_members();
    }

    void step(std::uint32_t word)
    {
        const auto argument = word >> 8U;
        auto& vm = vms_.at((word >> 4U) % vm_count);
        switch (word % 16) {
        case 0:
        case 1:
        case 2:
            return add(vm);
        case 3:
        case 4:
        case 5:
            return tick(vm, argument);
        case 6:
        case 7:
        case 8:
        case 9:
            return deliver(argument);
        case 10:
            log_.deliver_delayed();
            return;
        case 11:
            vm.frozen = argument % 3 == 0;
            return;
        case 12:
            return kill(vm, argument);
        case 13:
            return update_members();
        default:
            clock_.advance(std::chrono::milliseconds{argument % 600});
        }
    }

    void recover_and_check()
    {
        log_.deliver_delayed();
        update_members();
        for (auto& vm : vms_) {
            vm.frozen = false;
        }
        run(1min);
        for (const auto& vm : vms_) {
            RC_ASSERT(vm.dead || vm.buffer->own() == 0U);
        }
        check_bills();
        // Holders append copies whose done notice was lost when the holders changed.
        clock_.advance(1h);
        run(1min);
        check_bills();
        for (const auto& vm : vms_) {
            RC_ASSERT(vm.dead || vm.buffer->held() == 0U);
        }
    }

    [[nodiscard]] std::size_t dead_owner_answers() const { return dead_owner_answers_; }

private:
    // Runs all live VMs without faults.
    void run(duration time)
    {
        for (const auto end = clock_.now() + time; clock_.now() < end; clock_.advance(500ms)) {
            for (auto& vm : vms_) {
                tick(vm, 0);
            }
            while (!messages_.empty()) {
                deliver(0);
            }
        }
    }

    void add(simulated_vm& vm)
    {
        if (!vm.dead && !vm.frozen) {
            vm.buffer->add(make_bill(vm.id, vm.next_bill++), clock_.now());
        }
    }

    void tick(simulated_vm& vm, std::uint32_t argument)
    {
        if (!vm.dead && !vm.frozen) {
            handle(vm, vm.buffer->tick(clock_.now()), argument);
        }
    }

    void handle(simulated_vm& vm, const std::vector<bill_output>& outputs, std::uint32_t argument)
    {
        for (const auto& out : outputs) {
            if (const auto* released = std::get_if<bill_release>(&out)) {
                RC_ASSERT(answered_.insert(released->request).second);
            }
            else if (const auto* append = std::get_if<bill_append>(&out)) {
                const auto outcome = argument % 2 == 0
                                         ? append_outcome::stored
                                         : static_cast<append_outcome>(argument / 2 % 4);
                std::vector<bill_output> more;
                vm.buffer->on_append_result(append->id, log_.append(append->data, outcome),
                                            clock_.now(), more);
                handle(vm, more, argument);
            }
            else if (const auto* copy = std::get_if<bill_copy_batch>(&out)) {
                messages_.push_back({vm.id, copy->to, out});
            }
            else {
                messages_.push_back({vm.id, std::get<bill_done>(out).to, out});
            }
        }
    }

    // Delivers or drops the oldest message; the answer may be lost as well.
    void deliver(std::uint32_t argument)
    {
        if (messages_.empty()) {
            return;
        }
        const auto it = messages_.front();
        messages_.pop_front();
        auto* const to = find(it.to);
        if (to == nullptr || to->dead || argument % 8 == 7) {
            return;
        }
        const auto id = receive(*to, it);
        auto* const from = find(it.from);
        if (from == nullptr || from->dead || argument % 8 == 6) {
            return;
        }
        std::vector<bill_output> out;
        from->buffer->on_ack(it.to, id, out);
        handle(*from, out, argument);
        record_ack(it);
    }

    std::uint64_t receive(simulated_vm& to, const message& it)
    {
        if (const auto* copy = std::get_if<bill_copy_batch>(&it.body)) {
            RC_ASSERT(to.buffer->hold_copies(copy->data, clock_.now()));
            return copy->id;
        }
        const auto& done = std::get<bill_done>(it.body);
        to.buffer->drop_copies(it.from, done.sequences);
        return done.id;
    }

    void record_ack(const message& it)
    {
        if (const auto* copy = std::get_if<bill_copy_batch>(&it.body)) {
            const auto bills = decode_bill_batch(copy->data);
            for (const auto& subject : *bills) {
                acks_[subject.request].insert(it.to);
            }
        }
    }

    void kill(simulated_vm& vm, std::uint32_t argument)
    {
        if (argument % 4 == 0 && dead_count_ < 2 && !vm.dead) {
            vm.dead = true;
            ++dead_count_;
        }
    }

    void update_members()
    {
        for (auto& vm : vms_) {
            std::vector<process_id> live;
            for (const auto& other : vms_) {
                if (other.dead) {
                    vm.buffer->on_process_ended(other.id);
                }
                else if (other.id != vm.id) {
                    live.push_back(other.id);
                }
            }
            vm.buffer->set_peers(live);
        }
    }

    simulated_vm* find(const process_id& id)
    {
        const auto it =
            std::find_if(vms_.begin(), vms_.end(), [&](const auto& vm) { return vm.id == id; });
        return it == vms_.end() ? nullptr : &*it;
    }

    // Guarantee of design 3.6: with one ack a bill survives the loss of one VM, with two acks the
    // loss of two.
    [[nodiscard]] bool is_guaranteed(const request_id& request)
    {
        const auto* owner = find({request.vm, request.run});
        return !owner->dead || acks_[request].size() >= dead_count_;
    }

    void check_bills()
    {
        bill_ledger ledger;
        for (log_offset offset = 0; offset < log_.head(); ++offset) {
            const auto bills = decode_bill_batch(log_.at(offset));
            RC_ASSERT(bills.has_value());
            ledger.apply(offset, *bills);
        }
        RC_ASSERT(ledger.balanced());
        for (const auto& request : answered_) {
            RC_ASSERT(!is_guaranteed(request) || ledger.contains(request));
            dead_owner_answers_ += find({request.vm, request.run})->dead ? 1 : 0;
        }
    }

    manual_clock clock_;
    test_log log_;
    std::array<simulated_vm, vm_count> vms_;
    std::deque<message> messages_;
    std::set<request_id> answered_;
    std::map<request_id, std::set<process_id>> acks_;
    std::size_t dead_count_{0};
    std::size_t dead_owner_answers_{0};
};

// Guards invariant 4 against the loss of any two VMs and of any message or reply.
RC_GTEST_FIXTURE_PROP(bill_buffer_test, answered_request_has_one_bill_after_two_vms_are_lost, ())
{
    const auto words = *rc::gen::container<std::vector<std::uint32_t>>(
        400, rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
    bill_history history;
    for (const auto word : words) {
        history.step(word);
    }
    history.recover_and_check();
    RC_CLASSIFY(history.dead_owner_answers() > 0, "a lost VM had answered");
}

} // namespace
} // namespace wagtailhitch
