#include "node/runtime/output_router.hpp"

#include "base/metrics.hpp"

#include <type_traits>

namespace wagtailhitch {

namespace {

/// More deferred messages than this indicate that a thread has stopped consuming its ring.
constexpr std::size_t max_deferred_outputs = 4096;

error ring_full(step at, std::string peer)
{
    return error{error_code::ring_full,
                 at,
                 std::move(peer),
                 run_state::not_run,
                 "The node is overloaded: the queue of an I/O thread is full.",
                 100ms};
}

error lost_chunk_error()
{
    return error{error_code::ring_full,
                 step::stream,
                 {},
                 run_state::ran,
                 "A part of the answer was lost because the node is overloaded.",
                 {}};
}

constexpr std::size_t index_of(io_thread_kind duty)
{
    return static_cast<std::size_t>(duty);
}

} // namespace

output_router::output_router(rings targets, metrics& registry) : rings_{targets}
{
    for (const auto& [duty, name] : enum_names<io_thread_kind>) {
        refused_.at(index_of(duty)) =
            &registry.count("ring_full_total", {{"to", std::string{name}}});
    }
}

void output_router::route(output&& message)
{
    std::visit([this](auto& it) { route_message(std::move(it)); }, message);
}

std::optional<input> output_router::take_refusal()
{
    if (refusals_.empty()) {
        return std::nullopt;
    }
    input out = std::move(refusals_.front());
    refusals_.pop_front();
    return out;
}

void output_router::retry()
{
    for (const auto& [duty, name] : enum_names<io_thread_kind>) {
        auto& deferred = deferred_.at(index_of(duty));
        while (!deferred.empty()) {
            const auto* failed = std::get_if<answer_error>(&deferred.front());
            const caller_token broken = failed != nullptr ? failed->caller : 0;
            if (!rings_.at(index_of(duty))->try_push(deferred.front())) {
                break;
            }
            broken_answers_.erase(broken);
            deferred.pop_front();
        }
    }
}

bool output_router::push(io_thread_kind duty, output& message)
{
    if (rings_.at(index_of(duty))->try_push(message)) {
        return true;
    }
    refused_.at(index_of(duty))->add();
    return false;
}

void output_router::defer(io_thread_kind duty, output&& message)
{
    auto& deferred = deferred_.at(index_of(duty));
    if (deferred.size() < max_deferred_outputs) {
        deferred.push_back(std::move(message));
    }
}

template<typename Answer> void output_router::answer(Answer&& message)
{
    const caller_token caller = message.caller;
    if (broken_answers_.contains(caller)) {
        return;
    }
    output out{std::forward<Answer>(message)};
    if (!push(io_thread_kind::callers, out)) {
        abort_answer(caller);
    }
}

void output_router::abort_answer(caller_token caller)
{
    broken_answers_.insert(caller);
    defer(io_thread_kind::callers, answer_error{caller, lost_chunk_error()});
    refusals_.emplace_back(caller_gone{caller});
}

void output_router::route_message(answer_start&& message)
{
    answer(std::move(message));
}

void output_router::route_message(answer_chunk&& message)
{
    answer(std::move(message));
}

void output_router::route_message(answer_end&& message)
{
    answer(std::move(message));
}

void output_router::route_message(answer_whole&& message)
{
    answer(std::move(message));
}

void output_router::route_message(answer_error&& message)
{
    // An error is a complete answer by itself, so it is deferred unchanged.
    if (broken_answers_.contains(message.caller)) {
        return;
    }
    output out{std::move(message)};
    if (!push(io_thread_kind::callers, out)) {
        broken_answers_.insert(std::get<answer_error>(out).caller);
        defer(io_thread_kind::callers, std::move(out));
    }
}

void output_router::route_message(published_state&& message)
{
    auto& deferred = deferred_.at(index_of(io_thread_kind::callers));
    std::erase_if(deferred,
                  [](const output& it) { return std::holds_alternative<published_state>(it); });
    output out{std::move(message)};
    if (!push(io_thread_kind::callers, out)) {
        defer(io_thread_kind::callers, std::move(out));
    }
}

void output_router::route_message(attempt_start&& message)
{
    output out{std::move(message)};
    if (!push(io_thread_kind::upstreams, out)) {
        const auto& refused = std::get<attempt_start>(out);
        refusals_.emplace_back(attempt_failed{refused.attempt,
                                              ring_full(step::dispatch, refused.upstream.value),
                                              refused.resume_from});
    }
}

void output_router::route_message(attempt_cancel&& message)
{
    output out{std::move(message)};
    if (!push(io_thread_kind::upstreams, out)) {
        defer(io_thread_kind::upstreams, std::move(out));
    }
}

void output_router::route_message(probe_upstream&& message)
{
    output out{std::move(message)};
    static_cast<void>(push(io_thread_kind::upstreams, out));
}

void output_router::route_message(upstream_order&& message)
{
    output out{std::move(message)};
    if (!push(io_thread_kind::upstreams, out)) {
        const auto& refused = std::get<upstream_order>(out);
        refusals_.emplace_back(order_result{refused.upstream, refused.order,
                                            ring_full(step::dispatch, refused.upstream.value)});
    }
}

void output_router::route_message(log_append&& message)
{
    output out{std::move(message)};
    if (!push(io_thread_kind::platform, out)) {
        refusals_.emplace_back(append_result{std::get<log_append>(out).append,
                                             tl::unexpected(ring_full(step::platform, "log"))});
    }
}

void output_router::route_message(log_follow&& message)
{
    output out{std::move(message)};
    if (!push(io_thread_kind::platform, out)) {
        defer(io_thread_kind::platform, std::move(out));
    }
}

void output_router::route_message(peer_send&& message)
{
    output out{std::move(message)};
    static_cast<void>(push(io_thread_kind::peers, out));
}

void output_router::route_message(stopped&& /*message*/)
{
    has_stopped_ = true;
}

} // namespace wagtailhitch
