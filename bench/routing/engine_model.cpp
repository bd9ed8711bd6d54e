#include "routing/engine_model.hpp"

#include <memory>
#include <utility>

namespace wagtailhitch::bench {

namespace {

constexpr double slow_factor = 8;
constexpr double base_seconds = 0.03;

// Slowdown of each stream in a full batch, relative to an idle engine.
constexpr double batch_slowdown = 0.6;

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

void scheduler::at(time_point when, std::function<void()> action)
{
    events_.push({when, order_++, std::move(action)});
}

void scheduler::run_until(time_point end)
{
    while (!events_.empty() && events_.top().when <= end) {
        event next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
    }
    now_ = end;
}

void engine_model::submit(engine_job job)
{
    if (fault_ == engine_fault::fails_fast) {
        events_.after(2ms, std::move(job.on_failure));
        return;
    }
    queue_.push_back(std::move(job));
    start_next();
}

std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>> engine_model::take_cache_events()
{
    return {std::exchange(stored_, {}), std::exchange(evicted_, {})};
}

void engine_model::start_next()
{
    while (running_ < spec_.slots && !queue_.empty()) {
        const auto job = std::make_shared<engine_job>(std::move(queue_.front()));
        queue_.pop_front();
        const double fault = fault_ == engine_fault::slow ? slow_factor : 1;
        const double fill = static_cast<double>(running_) / spec_.slots;
        ++running_;
        const double cached = use_cache(*job);
        const double prefill = (job->prompt_tokens - cached) / prefill_tokens_per_second;
        const double first = (base_seconds + prefill) * (1 + fill) * fault / spec_.speed;
        const double rate = job->tokens_per_second * spec_.speed / (1 + batch_slowdown * fill);
        events_.after(from_seconds(first), [job, cached] { job->on_first_token(cached); });
        events_.after(from_seconds(first + job->answer_tokens / rate * fault), [this, job] {
            --running_;
            job->on_end();
            start_next();
        });
    }
}

double engine_model::use_cache(const engine_job& job)
{
    double cached = 0;
    bool prefix_held = true;
    for (const std::uint64_t block : *job.prefix) {
        const auto it = cached_.find(block);
        if (it != cached_.end()) {
            cached += prefix_held ? block_tokens : 0;
            cache_.splice(cache_.begin(), cache_, it->second);
            continue;
        }
        prefix_held = false;
        cache_.push_front(block);
        cached_[block] = cache_.begin();
        stored_.push_back(block);
        if (cache_.size() > cache_blocks) {
            evicted_.push_back(cache_.back());
            cached_.erase(cache_.back());
            cache_.pop_back();
        }
    }
    return cached;
}

} // namespace wagtailhitch::bench
