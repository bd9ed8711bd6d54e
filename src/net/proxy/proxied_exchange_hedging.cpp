#include "net/proxy/proxied_exchange.hpp"

#include <algorithm>

// The part of proxied_exchange that runs a second attempt beside the first.

namespace wagtailhitch {

void proxied_exchange::watch_for_hedge(std::optional<time_point> at)
{
    context_.deadlines.cancel(hedge_timer_);
    if (!at) {
        return;
    }
    const duration wait = std::max<duration>(duration{0}, *at - context_.clock());
    hedge_timer_ = context_.deadlines.after(wait, [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->on_hedge_time();
        }
    });
}

void proxied_exchange::on_hedge_time()
{
    if (ended_) {
        return;
    }
    const auto keep_alive = shared_from_this();
    const std::string first = last_replica_;
    const hedge_decision decision = flow_.on_hedge_time(context_.clock());
    if (!decision.send) {
        watch_for_hedge(decision.ask_again);
        return;
    }
    const send_step& step = *decision.send;
    context_.log.write(
        "request_hedged",
        {{"id", flow_.request().id},
         {"replica", step.placed.upstream.value},
         {"first_replica", first},
         {"reason", "target_in_danger"},
         {"gain_ms", to_milliseconds(decision.gain)},
         {"after_ms", to_milliseconds(context_.clock() - flow_.request().received_at)}});
    log_sent(step);
    send(step);
}

void proxied_exchange::cancel_overtaken()
{
    const auto overtaken = flow_.take_overtaken();
    if (!overtaken) {
        return;
    }
    cancel_call(overtaken->attempt);
    const std::string_view reason = overtaken->hedge ? "first_answered" : "second_answered";
    context_.counters.count("hedges_cancelled_total", {{"reason", std::string{reason}}}).add();
    context_.log.write("hedge_cancelled", {{"id", flow_.request().id},
                                           {"replica", overtaken->replica},
                                           {"reason", reason},
                                           {"ran_ms", to_milliseconds(overtaken->ran)}});
}

} // namespace wagtailhitch
