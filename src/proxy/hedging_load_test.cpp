#include "proxy/request_flow.hpp"
#include "proxy/test_proxy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

// Latencies of a load with a few slow answers, with and without second attempts.

namespace wagtailhitch {
namespace {

using namespace testing_proxy;

/// One kind of request of the load.
struct load_kind {
    const char* path;
    const char* route;
    duration median; ///< time to the first token
};
constexpr std::array<load_kind, 2> kinds{{{"/read/", "read", 60ms}, {"/report/", "report", 150ms}}};

constexpr int requests_per_kind = 20000;
constexpr duration arrival_interval = 10ms;
constexpr double slow_share = 0.02;
constexpr double slow_factor = 12;
constexpr duration latency_target = 800ms;

catalog_contents load_contents()
{
    auto out = make_contents(1);
    for (auto& route : out.routes) {
        route.target_latency = latency_target;
        route.models.clear();
    }
    return out;
}

proxy_settings load_settings(double percent)
{
    auto out = make_settings();
    out.hedging.percent = percent;
    out.retry.budget_share = 0.1;
    return out;
}

struct load_result {
    std::vector<duration> latencies; ///< sorted
    std::uint64_t hedges{0};
    std::uint64_t sends{0};
    int failed{0};

    [[nodiscard]] std::int64_t quantile_ms(double share) const
    {
        const auto at = static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1));
        return to_milliseconds(latencies[at]);
    }
};

/// Runs the load on one VM with a paused clock. Replicas answer after random times.
class load_run {
public:
    explicit load_run(double percent) : deployment_{load_settings(percent), load_contents()}
    {
        for (const char* domain : {"a", "b", "c"}) {
            for (const char* service : {"app", "engine"}) {
                auto replica = make_replica(std::string{service} + "-" + domain, service, domain);
                replica.slots = 64;
                deployment_.announce(replica);
            }
        }
        keep_confirmed();
        for (int i = 0; i < requests_per_kind; ++i) {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                at(now() + i * arrival_interval, [this, kind, i] { arrive(kind, i); });
            }
        }
    }

    std::array<load_result, kinds.size()> run()
    {
        while (!events_.empty()) {
            const auto next = events_.begin();
            deployment_.clock.advance(next->first - now());
            const auto action = std::move(next->second);
            events_.erase(next);
            action();
        }
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            std::ranges::sort(results_[kind].latencies);
            results_[kind].hedges =
                deployment_.counters.count("hedges_total", {{"route", kinds[kind].route}}).value();
        }
        return results_;
    }

private:
    struct live_request {
        std::size_t kind{0};
        std::unique_ptr<request_flow> flow;
        std::set<std::uint32_t> attempts;
    };
    using request_ptr = std::shared_ptr<live_request>;

    [[nodiscard]] time_point now() const { return deployment_.clock.now(); }
    void at(time_point time, std::function<void()> action)
    {
        events_.emplace(time, std::move(action));
    }
    void keep_confirmed()
    {
        deployment_.core.confirm(now());
        deployment_.core.tick(now());
        if (now() - started_ < requests_per_kind * arrival_interval) {
            at(now() + 100ms, [this] { keep_confirmed(); });
        }
    }
    void arrive(std::size_t kind, int number)
    {
        auto request = std::make_shared<live_request>();
        request->kind = kind;
        request->flow = std::make_unique<request_flow>(
            deployment_.core, deployment_.request(kinds[kind].path + std::to_string(number)));
        perform(request, request->flow->begin(now()));
    }
    duration answer_time(std::size_t kind)
    {
        std::lognormal_distribution<double> usual{0, 0.4};
        std::bernoulli_distribution is_slow{slow_share};
        const double factor = usual(generator_) * (is_slow(generator_) ? slow_factor : 1);
        return std::chrono::duration_cast<duration>(kinds[kind].median * factor);
    }
    void send(const request_ptr& request, const send_step& step)
    {
        ++results_[request->kind].sends;
        request->attempts.insert(step.attempt);
        const time_point sent = now() + step.pause;
        at(sent + answer_time(request->kind), [this, request, attempt = step.attempt] {
            response_head head;
            head.status = 200;
            head.signed_response = true;
            report(request, attempt, [&](request_flow& flow) { return flow.on_head(head, now()); });
        });
        at(sent + step.head_timeout, [this, request, attempt = step.attempt] {
            report(request, attempt, [&](request_flow& flow) {
                return flow.on_failure(
                    {error_code::upstream_timeout, run_state::outcome_unknown, "silent"}, now());
            });
        });
    }
    void report(const request_ptr& request, std::uint32_t attempt,
                const std::function<flow_step(request_flow&)>& event)
    {
        if (request->attempts.erase(attempt) == 0) {
            return;
        }
        request->flow->select(attempt);
        perform(request, event(*request->flow));
    }
    void watch_for_hedge(const request_ptr& request, std::optional<time_point> time)
    {
        if (!time) {
            return;
        }
        at(std::max(now(), *time), [this, request] {
            if (request->attempts.empty()) {
                return;
            }
            const auto decision = request->flow->on_hedge_time(now());
            if (decision.send) {
                send(request, *decision.send);
                return;
            }
            watch_for_hedge(request, decision.ask_again);
        });
    }
    void perform(const request_ptr& request, const flow_step& step)
    {
        if (const auto* to_send = std::get_if<send_step>(&step)) {
            request->attempts.clear();
            send(request, *to_send);
            watch_for_hedge(request, request->flow->hedge_time());
            return;
        }
        if (std::holds_alternative<continue_step>(step)) {
            return;
        }
        request->attempts.clear();
        load_result& result = results_[request->kind];
        if (std::holds_alternative<relay_step>(step)) {
            result.latencies.push_back(now() - request->flow->request().received_at);
            request->flow->on_end(now());
            return;
        }
        ++result.failed;
    }

    proxy_deployment deployment_;
    time_point started_{deployment_.clock.now()};
    std::mt19937_64 generator_{7};
    std::multimap<time_point, std::function<void()>> events_;
    std::array<load_result, kinds.size()> results_;
};

// Guards against second attempts that cost work and don't shorten the tail, or that exceed the
// operators' limit. Load: two kinds of request, 100 a second each, one answer in 50 takes 12 times
// as long.
TEST(hedging_load_test, second_attempts_shorten_the_tail_within_their_limit)
{
    constexpr double percent = 3;
    const auto without = load_run{0}.run();
    const auto with = load_run{percent}.run();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        for (const auto* result : {&without[kind], &with[kind]}) {
            std::cout << kinds[kind].route << (result == &with[kind] ? " hedged" : " not hedged")
                      << ": p50 " << result->quantile_ms(0.5) << " ms, p99 "
                      << result->quantile_ms(0.99) << " ms, p99.9 " << result->quantile_ms(0.999)
                      << " ms, " << result->sends << " sends, " << result->hedges << " hedges, "
                      << result->failed << " failed\n";
        }
        EXPECT_EQ(without[kind].hedges, 0U);
        EXPECT_GT(with[kind].hedges, 0U);
        EXPECT_LE(static_cast<double>(with[kind].hedges), percent / 100 * requests_per_kind);
        EXPECT_EQ(with[kind].failed, 0);
    }
    // Slow answers to "read" are expected within the target, so that few of them are sent twice.
    EXPECT_LT(static_cast<double>(with[1].quantile_ms(0.99)),
              0.7 * static_cast<double>(without[1].quantile_ms(0.99)));
}

} // namespace
} // namespace wagtailhitch
