#pragma once

#include "base/ring.hpp"
#include "node/messages.hpp"

#include <array>
#include <deque>
#include <memory>
#include <unordered_set>

// Routes the outputs of the core to the ring of the I/O thread that executes them.
//
//   output_router router{rings, registry};
//   router.route(std::move(out));
//   while (auto in = router.take_refusal()) { core.handle(*in, now, outputs); }
//   router.retry();    // on every tick
//
// A full ring never blocks. Attempts and appends that do not fit fail with ring_full and not_run,
// as if the I/O thread had refused them. A caller whose answer lost a chunk gets an error event
// instead of the rest. Cancellations, follows and the published state are kept and retried; probes
// and peer frames are dropped and counted.

namespace wagtailhitch {

class counter;
class metrics;

enum class io_thread_kind { callers, upstreams, platform, peers };
inline constexpr std::size_t io_thread_count = 4;

template<>
inline constexpr auto enum_names<io_thread_kind> = name_table<io_thread_kind, io_thread_count>{{
    {io_thread_kind::callers, "callers"},
    {io_thread_kind::upstreams, "upstreams"},
    {io_thread_kind::platform, "platform"},
    {io_thread_kind::peers, "peers"},
}};

class output_router {
public:
    using rings = std::array<ring<output>*, io_thread_count>;

    output_router(rings targets, metrics& registry);

    void route(output&& message);
    /// Returns the next input that reports a refused output.
    [[nodiscard]] std::optional<input> take_refusal();
    /// Retries the deferred outputs.
    void retry();
    /// True once `stopped` was routed.
    [[nodiscard]] bool has_stopped() const { return has_stopped_; }

private:
    bool push(io_thread_kind duty, output& message);
    void defer(io_thread_kind duty, output&& message);
    template<typename Answer> void answer(Answer&& message);
    void abort_answer(caller_token caller);

    void route_message(answer_start&& message);
    void route_message(answer_chunk&& message);
    void route_message(answer_end&& message);
    void route_message(answer_whole&& message);
    void route_message(answer_error&& message);
    void route_message(published_state&& message);
    void route_message(attempt_start&& message);
    void route_message(attempt_cancel&& message);
    void route_message(probe_upstream&& message);
    void route_message(upstream_order&& message);
    void route_message(log_append&& message);
    void route_message(log_follow&& message);
    void route_message(peer_send&& message);
    void route_message(stopped&& message);

    rings rings_;
    std::array<counter*, io_thread_count> refused_{};
    std::array<std::deque<output>, io_thread_count> deferred_;
    std::unordered_set<caller_token> broken_answers_;
    std::deque<input> refusals_;
    bool has_stopped_{false};
};

} // namespace wagtailhitch
