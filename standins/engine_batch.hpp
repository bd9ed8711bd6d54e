#pragma once

#include "prefix_cache.hpp"
#include "standins.hpp"

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

// Continuous batching with a service-time table: each step gives one token to every running
// request and processes a part of the prompts that are not cached.

namespace wagtailhitch::standins {

/// One connection that waits for a generation's tokens.
struct listener {
    exchange_ptr out;
    bool stream{false};
    std::uint64_t next{0}; ///< first token index that was not sent
    bool stalled{false};   ///< nothing more is sent; the connection stays open
};

struct generation {
    std::string id;
    std::string version;
    std::string body_digest;
    std::uint32_t priority{0};
    std::uint64_t arrival{0};
    std::uint64_t prompt_tokens{0};
    double prompt_tokens_left{0};    ///< prompt tokens still to be processed
    std::vector<std::string> tokens; ///< the whole answer; determined by the request
    std::uint64_t generated{0};
    std::string finish_reason;
    double confidence{0};
    bool cancelled{false};
    std::vector<listener> listeners;

    [[nodiscard]] bool complete() const { return generated >= tokens.size(); }
    [[nodiscard]] bool ended() const { return cancelled || complete(); }
};

using generation_ptr = std::shared_ptr<generation>;

struct batch_hooks {
    std::function<void(const generation_ptr&)> token; ///< after each generated token
    std::function<void(const generation_ptr&)> ended;
};

/// Runs up to `slots` generations at once, lowest priority number first, then by arrival.
class engine_batch {
public:
    engine_batch(event_loop& loop, const engine_settings& settings, batch_hooks hooks)
        : loop_{loop}, settings_{settings}, hooks_{std::move(hooks)}
    {
    }

    void submit(const generation_ptr& added);
    void cancel(const generation_ptr& ended);
    void set_slow_factor(double factor) { slow_factor_ = factor; }

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] bool full() const { return waiting_.size() >= settings_.max_waiting; }

private:
    void fill_slots();
    void start_step();
    void finish_step(double prompt_tokens);
    void emit(const generation_ptr& to);
    [[nodiscard]] double prompt_tokens_in_step() const;

    event_loop& loop_;
    const engine_settings& settings_;
    batch_hooks hooks_;
    std::list<generation_ptr> waiting_;
    std::vector<generation_ptr> running_;
    std::uint64_t next_arrival_{0};
    double slow_factor_{1};
    bool step_pending_{false};
};

} // namespace wagtailhitch::standins
