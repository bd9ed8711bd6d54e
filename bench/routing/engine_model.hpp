#pragma once

#include "base/clock.hpp"
#include "routing/deployment.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <span>
#include <unordered_map>
#include <vector>

// Queueing model of an inference engine: a batch of limited size, a prompt cache of limited memory,
// and load reports that arrive with a delay.

namespace wagtailhitch::bench {

/// Runs actions in order of their time; actions with equal times run in insertion order.
class scheduler {
public:
    void at(time_point when, std::function<void()> action);
    void after(duration wait, std::function<void()> action) { at(now_ + wait, std::move(action)); }
    void run_until(time_point end);
    [[nodiscard]] time_point now() const { return now_; }

private:
    struct event {
        time_point when;
        std::uint64_t order{0};
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t order_{0};
    time_point now_{manual_clock{}.now()};
};

/// `fails_fast`: every request fails after 2 ms. `slow`: everything takes 8 times as long.
enum class engine_fault { none, fails_fast, slow };

struct engine_job {
    const std::vector<std::uint64_t>* prefix{nullptr}; ///< shared blocks of the prompt
    double prompt_tokens{0};
    double answer_tokens{0};
    double tokens_per_second{0};
    std::function<void(double cached_tokens)> on_first_token;
    std::function<void()> on_end;
    std::function<void()> on_failure;
};

class engine_model {
public:
    static constexpr double block_tokens = 256;
    static constexpr double prefill_tokens_per_second = 8000;
    static constexpr std::size_t cache_blocks = 96;

    engine_model(scheduler& events, engine_spec spec) : events_{events}, spec_{std::move(spec)} {}

    void submit(engine_job job);
    void set_fault(engine_fault fault) { fault_ = fault; }
    /// Takes the blocks stored and evicted since the last call.
    std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>> take_cache_events();
    [[nodiscard]] const engine_spec& spec() const { return spec_; }
    [[nodiscard]] std::uint32_t running() const { return running_; }
    [[nodiscard]] std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(queue_.size());
    }

private:
    void start_next();
    double use_cache(const engine_job& job);

    scheduler& events_;
    engine_spec spec_;
    engine_fault fault_{engine_fault::none};
    std::uint32_t running_{0};
    std::deque<engine_job> queue_;
    std::list<std::uint64_t> cache_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_;
    std::vector<std::uint64_t> stored_;
    std::vector<std::uint64_t> evicted_;
};

} // namespace wagtailhitch::bench
