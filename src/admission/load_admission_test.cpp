#include "admission/load_admission.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>

// What callers get when several VMs with knowledge that is half a second old share replicas under
// load. Each test names its load; with the rule that only the replica's load counts (`enabled`
// false), each fails.

namespace wagtailhitch {
namespace {

enum class caller_habit { return_when_told, repeat_at_once };

struct traffic {
    std::string route;
    std::string team;
    std::uint32_t priority{0};
    double rate{1}; ///< callers per second
    duration target{};
    duration deadline{};
    duration first_token{}; ///< at an idle replica
    duration work{};        ///< time that a slot is occupied
    double tokens{0};
    double surge{1}; ///< multiple of the rate between surge_from and surge_to
    caller_habit habit{caller_habit::return_when_told};
};

constexpr duration surge_from = 40s;
constexpr duration surge_to = 47s;
constexpr duration end_of_load = 50s;
constexpr duration rest = 12s; ///< until all answers have ended

struct result {
    int callers{0};
    int in_time{0};
    int late{0};
    int refused{0};
    int returned{0}; ///< callers that came back when they were told to
    int served_at_return{0};

    [[nodiscard]] double in_time_share() const { return ratio(in_time); }
    [[nodiscard]] double served_share() const { return ratio(in_time + late); }
    [[nodiscard]] double ratio(int part) const
    {
        return callers == 0 ? 1 : static_cast<double>(part) / callers;
    }
};

class load_admission_test : public ::testing::Test {
protected:
    static constexpr int vm_count = 6;
    static constexpr duration step = 5ms;
    static constexpr duration knowledge_age = 500ms;

    struct call {
        const traffic* kind{nullptr};
        std::uint64_t caller{0};
        time_point arrived;
        time_point due;
        int attempt{0};
        int vm{0};
        std::size_t load_kind{0};
        bool waits{false};
        time_point ends;
    };
    struct replica {
        std::size_t slots{0};
        bool lost{false};
        std::vector<call> running;
        std::deque<call> queue;
        [[nodiscard]] std::size_t load() const { return running.size() + queue.size(); }
    };
    struct vm {
        load_admission decisions;
        std::vector<int> reported; ///< load of each replica at the last report
        std::vector<int> change;   ///< by this VM since then
        std::vector<int> own;
    };

    void deploy(std::size_t replicas, std::size_t slots)
    {
        replicas_.assign(replicas, {});
        for (replica& it : replicas_) {
            it.slots = slots;
        }
        load_admission_settings settings;
        settings.enabled = true;
        enabled_ = settings.enabled;
        for (int i = 0; i < vm_count; ++i) {
            const std::vector<int> none(replicas, 0);
            vms_.push_back(
                {load_admission{settings, 7U + static_cast<unsigned>(i)}, none, none, none});
        }
    }

    void run(const std::vector<traffic>& all)
    {
        for (; clock_.now() < start_ + end_of_load + rest; clock_.advance(step)) {
            const duration at = clock_.now() - start_;
            if (at % knowledge_age == duration{0}) {
                exchange_reports();
            }
            if (lose_at_ && at == *lose_at_) {
                lose_quarter();
            }
            for (const traffic& it : all) {
                if (at < end_of_load) {
                    arrive(it, at);
                }
            }
            while (!returning_.empty() && returning_.begin()->first <= clock_.now()) {
                const call back = returning_.begin()->second;
                returning_.erase(returning_.begin());
                send(back);
            }
            serve();
        }
    }

    void arrive(const traffic& it, duration at)
    {
        const double factor = at >= surge_from && at < surge_to ? it.surge : 1;
        std::poisson_distribution<int> arrivals{it.rate * factor * 0.005};
        for (int n = arrivals(generator_); n > 0; --n) {
            ++results_[it.route + it.team].callers;
            call made;
            made.kind = &it;
            made.caller = ++callers_;
            made.due = clock_.now() + it.deadline;
            made.vm = static_cast<int>(callers_ % vm_count);
            send(made);
        }
    }

    void send(call made)
    {
        vm& at = vms_[static_cast<std::size_t>(made.vm)];
        const auto load = [&](std::size_t i) { return std::max(0, at.reported[i] + at.change[i]); };
        std::size_t best = generator_() % replicas_.size();
        for (int n = 0; n < 2 || replicas_[best].lost; ++n) {
            const std::size_t other = generator_() % replicas_.size();
            if (replicas_[best].lost || (!replicas_[other].lost && load(other) < load(best))) {
                best = other;
            }
        }
        const traffic& kind = *made.kind;
        load_request request;
        request.service = "engine";
        request.priority = kind.priority;
        request.team = team_id{kind.team};
        request.route = kind.route;
        request.caller = made.caller;
        request.tokens = kind.tokens;
        request.target = kind.target;
        request.time_left = made.due - clock_.now();
        request.first_token = kind.first_token;
        request.load = load(best);
        request.slots = static_cast<double>(replicas_[best].slots);
        load_verdict verdict;
        if (enabled_) {
            verdict = at.decisions.decide(
                request, [&] { return occupancy(at); }, clock_.now());
        }
        else if (request.load > 2 * request.slots) {
            verdict.refused = load_refusal::capacity;
            verdict.retry_after = kind.target / 4;
        }
        result& counts = results_[kind.route + kind.team];
        if (made.attempt > 0 && kind.habit == caller_habit::return_when_told) {
            ++counts.returned;
            counts.served_at_return += verdict.refused == load_refusal::none ? 1 : 0;
        }
        if (verdict.refused != load_refusal::none) {
            EXPECT_LE(verdict.retry_after, request.time_left / 3);
            refuse(made, verdict.retry_after, counts);
            return;
        }
        made.arrived = clock_.now();
        made.load_kind = verdict.kind;
        made.waits = request.load >= request.slots;
        ++at.change[best];
        ++at.own[best];
        replicas_[best].queue.push_back(made);
    }

    void refuse(call made, duration retry_after, result& counts)
    {
        const bool at_once = made.kind->habit == caller_habit::repeat_at_once;
        if (made.attempt >= (at_once ? 3 : 1)) {
            ++counts.refused;
            return;
        }
        ++made.attempt;
        returning_.emplace(clock_.now() + (at_once ? step : retry_after), made);
    }

    void serve()
    {
        const time_point now = clock_.now();
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            replica& at = replicas_[i];
            std::erase_if(at.running, [&](const call& it) {
                if (it.ends > now) {
                    return false;
                }
                end(it, i);
                return true;
            });
            while (at.running.size() < at.slots && !at.queue.empty()) {
                call next = at.queue.front();
                at.queue.pop_front();
                begin(next, i);
            }
        }
    }

    void begin(call& next, std::size_t at)
    {
        const traffic& kind = *next.kind;
        const duration first = clock_.now() + kind.first_token - next.arrived;
        next.ends = clock_.now() + kind.work;
        if (next.ends > next.due) {
            // The replica has begun before it notices that nobody waits for the answer.
            next.ends = std::min(next.ends, clock_.now() + kind.first_token);
            next.waits = true;
        }
        else {
            result& counts = results_[kind.route + kind.team];
            ++(first <= kind.target ? counts.in_time : counts.late);
        }
        replicas_[at].running.push_back(next);
    }

    void end(const call& it, std::size_t at)
    {
        vm& by = vms_[static_cast<std::size_t>(it.vm)];
        --by.change[at];
        --by.own[at];
        if (enabled_ && !it.waits) {
            by.decisions.note_answer(it.load_kind,
                                     {it.kind->work, it.kind->work - it.kind->first_token, 0});
        }
    }

    service_occupancy occupancy(const vm& of) const
    {
        service_occupancy out;
        out.vms = vm_count;
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            if (!replicas_[i].lost) {
                out.load += std::max(0, of.reported[i] + of.change[i]);
                out.slots += static_cast<double>(replicas_[i].slots);
                out.own += of.own[i];
            }
        }
        return out;
    }

    void exchange_reports()
    {
        for (vm& it : vms_) {
            for (std::size_t i = 0; i < replicas_.size(); ++i) {
                it.reported[i] = static_cast<int>(replicas_[i].load());
                it.change[i] = 0;
            }
        }
    }

    void lose_quarter()
    {
        for (std::size_t i = 0; i < replicas_.size(); i += 4) {
            replicas_[i].lost = true;
        }
    }

    [[nodiscard]] double overall_served() const
    {
        result sum;
        for (const auto& [name, it] : results_) {
            sum.callers += it.callers;
            sum.in_time += it.in_time + it.late;
        }
        return sum.in_time_share();
    }

    void expect_least_shares()
    {
        for (const auto& [name, it] : results_) {
            EXPECT_GE(it.served_share(), overall_served() / 2) << name;
        }
    }

    std::string table() const
    {
        std::string out;
        for (const auto& [name, it] : results_) {
            out += name + ": callers " + std::to_string(it.callers) + ", in time " +
                   std::to_string(it.in_time) + ", late " + std::to_string(it.late) + ", refused " +
                   std::to_string(it.refused) + ", served at return " +
                   std::to_string(it.served_at_return) + " of " + std::to_string(it.returned) +
                   "\n";
        }
        return out;
    }

    bool enabled_{true};
    manual_clock clock_;
    time_point start_{clock_.now()};
    std::mt19937_64 generator_{11};
    std::vector<replica> replicas_;
    std::vector<vm> vms_;
    std::multimap<time_point, call> returning_;
    std::map<std::string, result> results_;
    std::optional<duration> lose_at_;
    std::uint64_t callers_{0};
};

traffic drafts(const std::string& team = "t")
{
    return {"drafts", team, 1, 7.4, 2s, 12s, 700ms, 4s, 12000};
}

traffic chat(const std::string& team = "t", double rate = 25)
{
    return {"chat", team, 0, rate, 1500ms, 12s, 150ms, 1600ms, 830};
}

traffic tagging(const std::string& team = "t")
{
    return {"tagging", team, 2, 26, 3s, 4s, 250ms, 2s, 2400};
}

// More urgent requests wait behind a surge of less urgent ones, and answers come late.
TEST_F(load_admission_test, surge_of_the_least_urgent_leaves_the_others_in_time)
{
    deploy(9, 16);
    traffic surging = tagging();
    surging.surge = 2.5;
    run({chat(), drafts(), surging});
    EXPECT_GE(results_["chatt"].in_time_share(), 0.97) << table();
    EXPECT_GE(results_["draftst"].in_time_share(), 0.95) << table();
    expect_least_shares();
}

// A team takes the slots of the others.
TEST_F(load_admission_test, team_at_six_times_its_rate_is_limited_to_its_share)
{
    deploy(9, 16);
    traffic loud = chat("loud", 12);
    loud.surge = 6;
    run({chat("a", 30), chat("b", 30), chat("small", 4), loud});
    for (const char* team : {"chata", "chatb", "chatsmall"}) {
        EXPECT_GE(results_[team].in_time_share(), 0.9) << team << '\n' << table();
    }
    EXPECT_GE(results_["chatloud"].returned, 2 * results_["chata"].returned) << table();
    expect_least_shares();
}

TEST_F(load_admission_test, callers_that_repeat_at_once_gain_nothing)
{
    deploy(9, 16);
    traffic patient = chat("patient", 32);
    traffic hasty = chat("hasty", 32);
    patient.surge = hasty.surge = 2;
    hasty.habit = caller_habit::repeat_at_once;
    run({patient, hasty});
    const result& told = results_["chatpatient"];
    EXPECT_LE(results_["chathasty"].in_time_share(), told.in_time_share()) << table();
    EXPECT_GE(told.served_at_return, told.returned * 9 / 10) << table();
}

// The rest of the replicas get everything and answer everything late.
TEST_F(load_admission_test, urgent_requests_stay_in_time_when_a_quarter_of_the_replicas_is_lost)
{
    deploy(12, 12);
    lose_at_ = surge_from;
    traffic more = tagging();
    more.rate = 34;
    run({chat(), drafts(), more});
    EXPECT_GE(results_["chatt"].in_time_share(), 0.95) << table();
    EXPECT_GE(results_["draftst"].in_time_share(), 0.9) << table();
    expect_least_shares();
}

// A third of the capacity is used; replicas queue for moments. Nothing may be refused.
TEST_F(load_admission_test, short_queues_of_calls_refuse_nothing)
{
    deploy(7, 6);
    traffic booking{"booking", "t", 2, 182, 400ms, 2500ms, 60ms, 60ms, 0};
    traffic lookup{"lookup", "t", 2, 42, 400ms, 2500ms, 60ms, 60ms, 0};
    booking.surge = 2.2;
    run({booking, lookup});
    EXPECT_EQ(results_["bookingt"].refused + results_["lookupt"].refused, 0) << table();
    EXPECT_EQ(results_["bookingt"].returned + results_["lookupt"].returned, 0) << table();
}

TEST_F(load_admission_test, request_that_cannot_meet_its_deadline_is_refused_at_once)
{
    load_admission decisions{{.enabled = true}, 1};
    load_request request;
    request.slots = 4;
    request.target = 1s;
    request.first_token = 600ms;
    request.time_left = 500ms;
    const auto verdict = decisions.decide(
        request, [] { return service_occupancy{}; }, clock_.now());
    EXPECT_EQ(verdict.refused, load_refusal::deadline);
    EXPECT_LE(verdict.retry_after, 500ms / 3);
}

} // namespace
} // namespace wagtailhitch
