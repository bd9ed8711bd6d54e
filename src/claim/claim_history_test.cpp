#include "base/test_log.hpp"
#include "claim/claim_batcher.hpp"
#include "claim/claim_flow.hpp"
#include "claim/claim_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

// Random histories of several VMs that share one log, compared with a reference model: a single VM
// that runs each key once. A VM may crash, freeze or fall behind in reading at any step. An append
// may be stored without a reply, stored late, or lost.

namespace wagtailhitch {
namespace {

constexpr std::int64_t wall = 1'700'000'000'000;
constexpr std::size_t vm_count = 4;
constexpr std::size_t key_count = 3;
const team_id team{"cafes"};

// State of one key in the reference model: one VM, all steps in order. The first run of a key is
// its only one.
struct reference_key {
    unsigned runs{0};
    std::string answer;
    bool answered{false};
    time_point ran_at{};
    bool used{false};
};

struct simulated_vm {
    process_id id;
    claim_table table{{}};
    claim_outbox outbox{{64, 1s, 4096}};
    claim_writer writer{{50ms, 64, 4096, 2, 2s, 250ms}, 1};
    claims_confirmation log;
    std::map<request_id, claim_flow> flows;
    std::vector<request_id> to_send; // may be sent, but the process may freeze or crash before
    std::vector<request_id> running;
    std::uint64_t next_request{1};
    bool frozen{false};
};

class claim_history {
public:
    claim_history()
    {
        for (std::size_t i = 0; i < vm_count; ++i) {
            boot(i);
        }
    }

    void step(std::uint32_t word)
    {
        const auto argument = word >> 8U;
        auto& vm = vms_.at((word >> 4U) % vm_count);
        clock_.advance(std::chrono::milliseconds{argument % 64});
        switch (word % 16) {
        case 0:
        case 1:
            return arrive(vm, argument);
        case 2:
        case 3:
        case 4:
        case 5:
            return read(vm, argument % 7);
        case 6:
        case 7:
        case 8:
            return write(vm, argument);
        case 9:
            return send(vm, argument);
        case 10:
            return finish(vm, argument);
        case 11:
            log_.deliver_delayed();
            return;
        case 12:
            vm.frozen = argument % 3 == 0;
            return;
        case 13:
            return kill((word >> 4U) % vm_count, argument);
        case 14:
            clock_.advance(std::chrono::milliseconds{argument % 4000});
            return;
        default:
            // A VM considers this process gone, although it still exists.
            vms_.at(argument % vm_count).table.on_process_ended(vm.id);
        }
    }

    // Runs without faults, after which each flow must have ended.
    void settle()
    {
        log_.deliver_delayed();
        for (int i = 0; i < 40; ++i) {
            clock_.advance(500ms);
            for (auto& vm : vms_) {
                vm.frozen = false;
                read(vm, 6);
                write(vm, 0);
                send(vm, 0);
                finish(vm, 0);
            }
        }
        for (const auto& vm : vms_) {
            RC_ASSERT(vm.flows.empty());
            RC_ASSERT(vm.outbox.empty());
        }
        check_tables();
    }

    [[nodiscard]] unsigned sends() const { return sends_; }

private:
    void boot(std::size_t n)
    {
        vms_.at(n) = {};
        vms_.at(n).id = {vm_id{"vm-" + std::to_string(n)}, ++incarnation_};
        vms_.at(n).log.confirmed_at = time_point{};
    }

    void arrive(simulated_vm& vm, std::uint32_t argument)
    {
        if (vm.frozen) {
            return;
        }
        const auto n = argument % key_count;
        auto& key = keys_.at(n);
        const bool first_use = !key.used && (argument & 64U) != 0;
        key.used = true;
        const request_id request{vm.id.vm, vm.id.run, vm.next_request++};
        claim_flow flow{{team, "key-" + std::to_string(n), n, request, first_use, clock_.now(),
                         clock_.now() + 8s},
                        {}};
        key_of_[request] = n;
        const auto [it, added] = vm.flows.emplace(request, std::move(flow));
        perform(vm, it->second, it->second.start(vm.table, vm.log, clock_.now(), wall));
        erase_finished_flows(vm);
    }

    void perform(simulated_vm& vm, const claim_flow& flow, const claim_action& action)
    {
        const auto& request = flow.request().request;
        if (action.kind == claim_action_kind::submit) {
            vm.outbox.add(action.claim, clock_.now());
        }
        if (action.withdraw) {
            vm.outbox.withdraw(request);
        }
        if (action.release) {
            vm.outbox.release(flow.key(), request, clock_.now());
        }
        if (action.kind == claim_action_kind::send) {
            vm.to_send.push_back(request);
        }
        if (action.kind == claim_action_kind::answer) {
            const auto& key = keys_.at(key_of_.at(request));
            RC_ASSERT(key.answered);
            RC_ASSERT(action.payload == key.answer);
        }
        if (action.kind == claim_action_kind::refuse && action.reason.run == run_state::not_run) {
            refused_not_run_.insert(request);
            const auto& key = keys_.at(key_of_.at(request));
            RC_ASSERT(key.runs == 0 || key.ran_at > flow.request().arrived);
        }
    }

    static void erase_finished_flows(simulated_vm& vm)
    {
        std::erase_if(vm.flows, [](const auto& it) { return it.second.over(); });
    }

    void read(simulated_vm& vm, std::uint32_t records)
    {
        if (vm.frozen) {
            return;
        }
        const auto asked_at = clock_.now();
        while (vm.table.next_offset() < log_.head() && records-- > 0) {
            apply_next(vm);
        }
        if (vm.table.next_offset() == log_.head()) {
            vm.log.confirmed_at = asked_at;
        }
        for (auto& [request, flow] : vm.flows) {
            perform(vm, flow, flow.advance(vm.table, vm.log, clock_.now()));
        }
        erase_finished_flows(vm);
    }

    void apply_next(simulated_vm& vm)
    {
        const auto offset = vm.table.next_offset();
        const auto batch = decode_claim_batch(log_.at(offset));
        RC_ASSERT(batch.has_value());
        vm.outbox.acknowledge(*batch);
        for (const auto& event : vm.table.apply(offset, *batch, wall)) {
            const bool own = process_id{event.request.vm, event.request.run} == vm.id;
            if (event.kind == claim_event_kind::won && own && vm.flows.count(event.request) == 0) {
                vm.outbox.release(event.key, event.request, clock_.now());
            }
        }
    }

    // Submits to the writer on the first VM, or sometimes on the second. Either may have restarted
    // with an empty state.
    void write(simulated_vm& vm, std::uint32_t argument)
    {
        auto& writer = vms_.at((argument >> 4U) % 8 == 0 ? 1 : 0);
        if (!vm.frozen) {
            for (auto& items : vm.outbox.due(clock_.now())) {
                writer.writer.accept(std::move(items));
            }
        }
        if (writer.frozen) {
            return;
        }
        if (const auto append = writer.writer.due(clock_.now(), true)) {
            // Up to half of the appends fail in one of the three ways.
            const auto fate = argument % 2 == 0 ? append_outcome::stored
                                                : static_cast<append_outcome>(argument / 2 % 4);
            writer.writer.on_result(append->batch, log_.append(append->data, fate), clock_.now());
        }
    }

    void send(simulated_vm& vm, std::uint32_t argument)
    {
        if (vm.frozen || vm.to_send.empty()) {
            return;
        }
        const auto request = vm.to_send.back();
        vm.to_send.pop_back();
        RC_ASSERT(refused_not_run_.count(request) == 0);
        if (argument % 8 == 7) {
            // The upstream refused the connection, so the request did not run.
            end(vm, request, vm.flows.at(request).failed(run_state::not_run));
            return;
        }
        auto& key = keys_.at(key_of_.at(request));
        ++key.runs;
        ++sends_;
        key.ran_at = clock_.now();
        RC_ASSERT(key.runs == 1U);
        vm.running.push_back(request);
    }

    void finish(simulated_vm& vm, std::uint32_t argument)
    {
        if (vm.frozen || vm.running.empty()) {
            return;
        }
        const auto request = vm.running.back();
        vm.running.pop_back();
        auto& flow = vm.flows.at(request);
        if (argument % 4 == 3) {
            end(vm, request, flow.failed(run_state::outcome_unknown));
            return;
        }
        auto& key = keys_.at(key_of_.at(request));
        key.answer = to_string(request);
        key.answered = true;
        end(vm, request, flow.answered(200, "text/plain", key.answer));
    }

    void end(simulated_vm& vm, const request_id& request, outcome_record outcome)
    {
        vm.outbox.add(std::move(outcome), clock_.now());
        vm.flows.erase(request);
    }

    void kill(std::size_t n, std::uint32_t argument)
    {
        if (argument % 4 != 0) {
            return;
        }
        const auto dead = vms_.at(n).id;
        boot(n);
        for (auto& vm : vms_) {
            vm.table.on_process_ended(dead);
        }
    }

    // All VMs, which have read the whole log, must have the same owner for each key.
    void check_tables()
    {
        for (std::size_t n = 0; n < key_count; ++n) {
            const auto key = make_claim_key(team, "key-" + std::to_string(n));
            for (const auto& vm : vms_) {
                RC_ASSERT(vm.table.find(key).owner == vms_.at(0).table.find(key).owner);
            }
        }
    }

    manual_clock clock_;
    test_log log_;
    std::array<simulated_vm, vm_count> vms_;
    std::array<reference_key, key_count> keys_;
    std::map<request_id, std::size_t> key_of_;
    std::set<request_id> refused_not_run_;
    incarnation incarnation_{0};
    unsigned sends_{0};
};

class claim_history_test : public testing::Test {};

// Guards invariants 6 and 7 under every combination of faults that the steps can produce.
RC_GTEST_FIXTURE_PROP(claim_history_test, keyed_request_runs_at_most_once_in_any_history, ())
{
    const auto words = *rc::gen::container<std::vector<std::uint32_t>>(
        600, rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
    claim_history history;
    for (const auto word : words) {
        history.step(word);
    }
    history.settle();
    RC_CLASSIFY(history.sends() >= 2, "two keys or more were sent");
}

} // namespace
} // namespace wagtailhitch
