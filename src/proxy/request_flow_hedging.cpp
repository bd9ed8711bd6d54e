#include "proxy/request_flow.hpp"

#include <utility>

// The part of request_flow that runs a second attempt beside the first.

namespace wagtailhitch {

void request_flow::select(std::uint32_t attempt)
{
    if (other_ && other_->number == attempt) {
        std::swap(attempt_, *other_);
    }
}

std::optional<time_point> request_flow::hedge_time() const
{
    if (!attempt_.placed || attempt_.head_seen) {
        return std::nullopt;
    }
    const hedge_context context{.idempotent = admitted_->route->repeatable(),
                                .stream_started = response_started_,
                                .already_hedged = hedged_,
                                .deadline = admitted_->answer_deadline};
    return core_.hedging().hedge_time(proxy_core::kind_of(*admitted_, *attempt_.placed), context,
                                      attempt_.sent_at);
}

hedge_decision request_flow::on_hedge_time(time_point now)
{
    hedge_decision out;
    const auto due = hedge_time();
    if (!due || now < *due) {
        out.refusal = hedge_refusal::not_waiting;
        out.ask_again = due;
        return out;
    }
    auto hedge = core_.place_hedge(*admitted_, request_, history_,
                                   {*attempt_.placed, parts_, attempt_.sent_at}, now);
    out.refusal = hedge.refusal;
    out.ask_again = hedge.ask_again;
    out.gain = hedge.gain;
    if (hedge.placed) {
        hedged_ = true;
        other_ = std::move(attempt_);
        out.send = begin_attempt(std::move(*hedge.placed), duration{0}, now);
    }
    return out;
}

void request_flow::record_wait(const attempt_state& attempt, time_point now)
{
    // Second attempts are made for slow requests at chosen replicas, so that their times say
    // nothing about the usual ones.
    if (attempt.hedge || response_started_) {
        return;
    }
    const hedged_kind kind = proxy_core::kind_of(*admitted_, *attempt.placed);
    if (attempt.head_at) {
        core_.hedging().record_first_token(kind, now - attempt.sent_at);
    }
    else {
        core_.hedging().record_unanswered(kind, now - attempt.sent_at);
    }
}

void request_flow::overtake_other(time_point now)
{
    if (!other_) {
        return;
    }
    std::swap(attempt_, *other_);
    overtaken_ = {attempt_.number, attempt_.placed->upstream.value, attempt_.hedge,
                  now - attempt_.sent_at};
    record_wait(attempt_, now);
    // A replica may still crash on the prompt that it has received.
    note_parts(part_outcome::dropped, now);
    if (slow(now)) {
        core_.note_answer(*admitted_, *attempt_.placed, {.slow = true});
    }
    end_attempt(attempt_result::cancelled, now, false, true);
    attempt_ = std::move(*other_);
    other_.reset();
}

void request_flow::end_all_attempts(attempt_result result, time_point now)
{
    end_attempt(result, now);
    if (other_) {
        std::swap(attempt_, *other_);
        end_attempt(result, now);
        other_.reset();
    }
}

} // namespace wagtailhitch
