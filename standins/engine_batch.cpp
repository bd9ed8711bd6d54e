#include "engine_batch.hpp"

#include <algorithm>

namespace wagtailhitch::standins {

namespace {

// Prompt tokens processed in one step; bounds how long a long prompt delays running requests.
constexpr double prompt_tokens_per_step = 512;

} // namespace

void engine_batch::submit(const generation_ptr& added)
{
    added->arrival = next_arrival_++;
    const auto later = [&](const generation_ptr& it) { return it->priority > added->priority; };
    waiting_.insert(std::find_if(waiting_.begin(), waiting_.end(), later), added);
    if (!step_pending_) {
        fill_slots();
        start_step();
    }
}

void engine_batch::cancel(const generation_ptr& ended)
{
    if (ended->ended()) {
        return;
    }
    ended->cancelled = true;
    waiting_.remove(ended);
    running_.erase(std::remove(running_.begin(), running_.end(), ended), running_.end());
    hooks_.ended(ended);
}

void engine_batch::fill_slots()
{
    while (running_.size() < settings_.slots && !waiting_.empty()) {
        running_.push_back(waiting_.front());
        waiting_.pop_front();
    }
}

double engine_batch::prompt_tokens_in_step() const
{
    double left = 0;
    for (const generation_ptr& it : running_) {
        left += it->prompt_tokens_left;
    }
    return std::min(left, prompt_tokens_per_step);
}

void engine_batch::start_step()
{
    if (running_.empty()) {
        step_pending_ = false;
        return;
    }
    step_pending_ = true;
    const double prompt = prompt_tokens_in_step();
    const double others = static_cast<double>(running_.size() - 1);
    const double token_time = settings_.token_us * (1 + settings_.batch_penalty * others);
    const double prompt_time = settings_.prompt_us_per_token * prompt;
    const double total_us = (token_time + prompt_time) * slow_factor_ / settings_.speed;
    const std::chrono::duration<double, std::micro> wait{total_us};
    loop_.after(std::chrono::duration_cast<duration>(wait),
                [this, prompt] { finish_step(prompt); });
}

void engine_batch::finish_step(double prompt_tokens)
{
    const auto batch = running_;
    for (const generation_ptr& it : batch) {
        if (it->cancelled) {
            continue;
        }
        const double part = std::min(it->prompt_tokens_left, prompt_tokens);
        it->prompt_tokens_left -= part;
        prompt_tokens -= part;
        if (it->prompt_tokens_left <= 0) {
            emit(it);
        }
    }
    fill_slots();
    start_step();
}

void engine_batch::emit(const generation_ptr& to)
{
    ++to->generated;
    hooks_.token(to);
    if (to->complete()) {
        running_.erase(std::remove(running_.begin(), running_.end(), to), running_.end());
        hooks_.ended(to);
    }
}

} // namespace wagtailhitch::standins
