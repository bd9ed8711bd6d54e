#include "net/proxy/proxied_exchange.hpp"

#include "base/digest.hpp"
#include "net/caller_text.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <cstdio>
#include <utility>

namespace wagtailhitch {

namespace http = boost::beast::http;

namespace {

/// Bounds of the memory that buffers a replica's answer.
constexpr std::size_t whole_answer_limit = std::size_t{4} * 1024 * 1024;
constexpr std::size_t event_limit = std::size_t{256} * 1024;
/// Pooled connections that were idle for longer are not used for requests that must not run twice,
/// because the replica may be closing them.
constexpr duration max_idle_for_reuse = 1s;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that are
/// generated again.
bool is_connection_header(std::string_view name)
{
    static constexpr std::array<std::string_view, 12> names{
        "connection", "keep-alive",         "proxy-connection", "proxy-authenticate", "te",
        "trailer",    "transfer-encoding",  "upgrade",          "content-length",     "host",
        "expect",     "proxy-authorization"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view known) {
        return boost::beast::iequals(boost::beast::string_view{name.data(), name.size()},
                                     boost::beast::string_view{known.data(), known.size()});
    });
}

std::string_view to_std(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

/// Ids of the prompt parts that other requests may share, in prompt order: "5c1e07a2,91bd3f06".
std::string shared_part_ids(const proxied_request& request)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        out.append(i > 0 ? "," : "").append(hex_text(request.parts[i].id));
    }
    return out;
}

/// Id of the request's own prompt part, which a repeat of the request has as well.
std::string own_part_id(const proxied_request& request)
{
    return request.parts.empty() ? std::string{} : hex_text(request.parts.back().id);
}

/// Whether two Content-Type values are the same but for their parameters.
bool have_same_type(std::string_view first, std::string_view second)
{
    const auto type_of = [](std::string_view value) {
        value = value.substr(0, value.find(';'));
        value = value.substr(0, value.find_last_not_of(" \t") + 1);
        return boost::beast::string_view{value.data(), value.size()};
    };
    return boost::beast::iequals(type_of(first), type_of(second));
}

std::string chunk_of(std::string_view bytes)
{
    std::array<char, 20> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out{size.data(), static_cast<std::size_t>(n)};
    out.append(bytes).append("\r\n");
    return out;
}

} // namespace

proxied_exchange::proxied_exchange(proxy_context& context, request_head head, std::string body,
                                   answer_framing body_framing, answer_sink sink)
    : context_{context}, head_{std::move(head)},
      body_{std::make_shared<const std::string>(std::move(body))}, framing_{body_framing},
      sink_{std::move(sink)}, flow_{context.core,
                                    [&] {
                                        auto request = context.dialect.read_request(head_);
                                        request.body_bytes = body_->size();
                                        request.received_at = context.clock();
                                        return request;
                                    }()},
      events_{event_limit}, buffered_{context.buffers}
{
}

proxied_exchange::~proxied_exchange()
{
    cancel_calls();
    context_.deadlines.cancel(deadline_);
}

void proxied_exchange::start()
{
    const time_point now = context_.clock();
    auto first = flow_.begin(now);
    if (flow_.admitted() && !has_deadline_) {
        has_deadline_ = true;
        deadline_ =
            context_.deadlines.after(flow_.answer_deadline() - now, [self = weak_from_this()] {
                if (const auto it = self.lock()) {
                    it->on_deadline();
                }
            });
    }
    perform(std::move(first));
}

void proxied_exchange::perform(flow_step step)
{
    if (ended_) {
        return;
    }
    const auto keep_alive = shared_from_this();
    std::visit([this](auto& it) { perform_step(it); }, step);
}

void proxied_exchange::drop_buffered()
{
    relay_mode_ = relay_mode::none;
    buffered_body_ = {};
    events_ = event_splitter{event_limit};
    buffered_.set(0);
}

void proxied_exchange::perform_step(const wait_step& step)
{
    cancel_calls();
    drop_buffered();
    if (!std::exchange(has_waited_, true)) {
        context_.counters.count("proxied_requests_waited_total").add();
        context_.log.write("request_waits", {{"id", flow_.request().id}, {"reason", step.reason}});
    }
    pause_timer_ = context_.deadlines.after(step.pause, [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->start();
        }
    });
}

void proxied_exchange::perform_step(send_step& step)
{
    cancel_calls();
    drop_buffered();
    log_sent(step);
    watch_for_hedge(flow_.hedge_time());
    if (step.pause <= duration{0}) {
        send(step);
        return;
    }
    pause_timer_ = context_.deadlines.after(step.pause, [self = weak_from_this(), step] {
        if (const auto it = self.lock()) {
            it->send(step);
        }
    });
}

void proxied_exchange::log_sent(const send_step& step)
{
    last_replica_ = step.placed.upstream.value;
    last_model_ = step.model;
    context_.log.write(
        "request_sent",
        {{"id", flow_.request().id},
         {"replica", step.placed.upstream.value},
         {"software", step.placed.software},
         {"model", step.model},
         {"send", flow_.sends()},
         {"distance", name_of(step.placed.distance)},
         {"on_trial", step.placed.on_trial},
         {"expected_first_ms", to_milliseconds(step.placed.expected_first_token)},
         {"config", flow_.admitted()->catalog->version()},
         {"config_age_ms", to_milliseconds(context_.core.configuration_age(context_.clock()))}});
}

detail::http_call proxied_exchange::make_call(const send_step& step) const
{
    detail::http_call call;
    call.address = step.placed.address;
    call.host = std::string{to_std(head_[http::field::host])};
    call.method = std::string{to_std(head_.method_string())};
    call.target = std::string{to_std(head_.target())};
    call.shared_body = body_;
    call.first_byte_timeout = step.head_timeout;
    // A pause of the replica does not end an answer that has begun.
    call.progress_timeout = step.time_left;
    call.body_limit = 0;
    call.reuse_within =
        step.fresh_connection ? max_idle_for_reuse : duration{std::chrono::hours{1}};
    http::token_list connection_options{head_[http::field::connection]};
    for (const auto& field : head_) {
        const auto name = to_std(field.name_string());
        if (is_connection_header(name) || context_.dialect.withheld(name) ||
            connection_options.exists(field.name_string())) {
            continue;
        }
        call.headers.emplace_back(name, to_std(field.value()));
    }
    context_.dialect.write_request(flow_, step, call.headers);
    return call;
}

void proxied_exchange::send(const send_step& step)
{
    const auto self = weak_from_this();
    const std::uint32_t attempt = step.attempt;
    detail::http_hooks hooks;
    hooks.on_header = [self, attempt](detail::answer_head head) {
        if (const auto it = self.lock()) {
            it->on_head(attempt, std::move(head));
        }
    };
    hooks.on_data = [self](std::string_view bytes) {
        if (const auto it = self.lock()) {
            it->on_data(bytes);
        }
    };
    hooks.on_end = [self, attempt](const detail::call_failure* failure) {
        if (const auto it = self.lock()) {
            it->on_end(attempt, failure);
        }
    };
    hooks.may_send = [self, attempt] {
        const auto it = self.lock();
        if (!it) {
            return false;
        }
        it->flow_.select(attempt);
        return it->flow_.may_send(it->context_.clock());
    };
    calls_[attempt] = context_.upstreams.start(make_call(step), std::move(hooks));
}

void proxied_exchange::on_head(std::uint32_t attempt, detail::answer_head head)
{
    const auto keep_alive = shared_from_this();
    flow_.select(attempt);
    event_attempt_ = attempt;
    response_head head_info = context_.dialect.read_head(head, flow_.request());
    head_info.on_reused_connection = head.on_reused_connection;
    last_confidence_ = head_info.confidence.value_or(-1);
    const std::uint64_t announced_length = head.body_length.value_or(0);
    const bool begun = flow_.response_started();
    head_info.other_content_type =
        begun && !have_same_type(head.content_type, answer_.content_type);
    if (!begun) {
        answer_ = std::move(head);
    }
    const bool stream =
        flow_.admitted()->route->kind == route_kind::stream && head_info.status == 200;
    const std::string replica = flow_.placed() ? flow_.placed()->upstream.value : std::string{};
    auto step = flow_.on_head(head_info, context_.clock());
    log_set_aside(head_info, replica);
    cancel_overtaken();
    if (std::holds_alternative<relay_step>(step)) {
        relay_mode_ = stream ? relay_mode::stream : relay_mode::whole;
        if (!stream && announced_length > whole_answer_limit) {
            fail_oversized_answer(error_code::upstream_failed,
                                  "The answer's head announces more than this VM can buffer.");
            return;
        }
        context_.deadlines.cancel(hedge_timer_);
        last_replica_ = replica;
        if (stream) {
            last_event_at_ = context_.clock();
            watch_for_stall();
        }
        return;
    }
    log_answer_dropped(head_info, replica);
    perform(std::move(step));
}

void proxied_exchange::perform_step(const relay_step& /*step*/) {}

void proxied_exchange::perform_step(const continue_step& /*step*/)
{
    cancel_call(event_attempt_);
}

void proxied_exchange::on_data(std::string_view bytes)
{
    const auto keep_alive = shared_from_this();
    if (relay_mode_ == relay_mode::whole) {
        buffered_body_.append(bytes);
        buffered_.set(buffered_body_.size());
        if (buffered_body_.size() > whole_answer_limit || buffered_.exceeds_share()) {
            fail_oversized_answer(error_code::upstream_failed,
                                  "The answer exceeds what this VM can buffer.");
        }
        return;
    }
    if (relay_mode_ == relay_mode::stream) {
        relay_events(bytes);
    }
}

void proxied_exchange::relay_events(std::string_view bytes)
{
    const time_point now = context_.clock();
    std::string new_events;
    const bool within_limit = events_.feed(bytes, [&](const stream_event& event) {
        if (flow_.is_new(event.id)) {
            new_events.append(event.bytes);
            flow_.on_event(event.id, now);
            // A comment has no id and is no progress.
            last_event_at_ = event.id ? now : last_event_at_;
        }
    });
    if (!new_events.empty()) {
        write_events(new_events);
    }
    if (ended_) {
        return; // The caller's connection was closed by the write.
    }
    pause_if_behind();
    buffered_.set(events_.partial_bytes());
    if (!within_limit || buffered_.exceeds_share()) {
        fail_oversized_answer(error_code::stream_broken, "An event exceeds the limit.");
    }
}

void proxied_exchange::pause_if_behind()
{
    if (!paused_at_ && !calls_.empty() && sink_.behind && sink_.behind()) {
        context_.counters.count("proxied_reading_paused_total").add();
        paused_at_ = context_.clock();
        calls_.begin()->second->pause();
    }
}

void proxied_exchange::on_caller_ready()
{
    if (ended_ || !paused_at_) {
        return;
    }
    const time_point now = context_.clock();
    flow_.note_reading_paused(now - *paused_at_);
    // The silence was the caller's, so the replica has not stalled.
    last_event_at_ = now;
    paused_at_.reset();
    if (!calls_.empty()) {
        calls_.begin()->second->resume();
    }
}

void proxied_exchange::write_events(std::string_view events)
{
    if (!head_written_) {
        sink_.write(begin_answer(std::nullopt));
    }
    sink_.write(framing_.chunked ? chunk_of(events) : events);
}

std::string proxied_exchange::begin_answer(std::optional<std::size_t> length)
{
    head_written_ = true;
    first_byte_at_ = context_.clock();
    std::string out;
    detail::append_status_line(out, answer_.status);
    for (const auto& [name, value] : answer_.headers) {
        if (!is_connection_header(name)) {
            append_header(out, name, value);
        }
    }
    if (length) {
        append_header(out, "Content-Length", std::to_string(*length));
    }
    else if (framing_.chunked) {
        append_header(out, "Transfer-Encoding", "chunked");
    }
    else {
        ends_at_close_ = true;
    }
    if (ends_at_close_ || sink_.closes()) {
        append_header(out, "Connection", "close");
    }
    out += "\r\n";
    return out;
}

void proxied_exchange::on_end(std::uint32_t attempt, const detail::call_failure* failure)
{
    const auto keep_alive = shared_from_this();
    calls_.erase(attempt);
    flow_.select(attempt);
    event_attempt_ = attempt;
    paused_at_.reset();
    if (failure == nullptr && (relay_mode_ != relay_mode::stream || !events_.has_partial_event())) {
        finish_answer();
        return;
    }
    if (failure == nullptr) {
        fail_attempt({.code = error_code::stream_broken,
                      .run = run_state::ran,
                      .detail = "The stream ended within an event.",
                      .connection_lost = true});
        return;
    }
    const bool begun = failure->stage == detail::call_stage::receiving;
    const run_state run = failure->written ? run_state::outcome_unknown : run_state::not_run;
    error_code code =
        failure->written ? error_code::upstream_failed : error_code::upstream_connect_failed;
    if (begun) {
        code = error_code::stream_broken;
    }
    else if (failure->timed_out && failure->written) {
        code = error_code::upstream_timeout;
    }
    fail_attempt({.code = code,
                  .run = run,
                  .detail = failure->detail,
                  .withdrawn = failure->withdrawn,
                  .connection_lost = failure->written && !failure->timed_out,
                  .connection_refused = failure->refused});
}

void proxied_exchange::fail_attempt(const attempt_failure& failure)
{
    log_attempt_failed(failure);
    perform(flow_.on_failure(failure, context_.clock()));
}

void proxied_exchange::fail_oversized_answer(error_code code, std::string detail)
{
    context_.counters.count("proxied_answers_too_large_total").add();
    fail_attempt({code, run_state::ran, std::move(detail)});
}

void proxied_exchange::finish_answer()
{
    flow_.on_end(context_.clock());
    if (relay_mode_ == relay_mode::stream) {
        if (!head_written_) {
            sink_.write(begin_answer(std::nullopt));
        }
        if (framing_.chunked) {
            sink_.write("0\r\n\r\n");
        }
    }
    else {
        std::string out = begin_answer(buffered_body_.size());
        if (!framing_.head_only) {
            out += buffered_body_;
        }
        drop_buffered();
        sink_.write(out);
    }
    log_finished(answer_.status, "answered", {});
    end();
    if (ends_at_close_) {
        sink_.abort();
        return;
    }
    sink_.finish();
}

void proxied_exchange::perform_step(const respond_step& step)
{
    cancel_calls();
    std::string body = "{\"error\":\"" + std::string{name_of(step.reason.code)} + "\"}\n";
    std::string out;
    detail::append_status_line(out, step.status);
    detail::header_list headers;
    context_.dialect.write_refusal(flow_.request(), step.reason, headers);
    for (const auto& [name, value] : headers) {
        append_header(out, name, value);
    }
    append_header(out, "Content-Type", "application/json");
    append_header(out, "Content-Length", std::to_string(body.size()));
    if (sink_.closes()) {
        append_header(out, "Connection", "close");
    }
    out += "\r\n";
    if (!framing_.head_only) {
        out += body;
    }
    context_.counters
        .count("proxied_refusals_total", {{"code", std::string{name_of(step.reason.code)}},
                                          {"step", std::string{name_of(step.reason.at)}}})
        .add();
    log_finished(step.status, "refused", step.reason.detail);
    end();
    sink_.write(out);
    sink_.finish();
}

void proxied_exchange::perform_step(const abort_step& step)
{
    cancel_calls();
    context_.counters.count("proxied_answers_broken_total").add();
    log_finished(answer_.status, "broken", step.reason.detail);
    end();
    sink_.abort();
}

void proxied_exchange::on_deadline()
{
    if (!ended_) {
        perform(flow_.on_deadline(context_.clock()));
    }
}

void proxied_exchange::on_stop()
{
    if (!ended_) {
        perform(flow_.on_stop(context_.clock()));
    }
}

// One timer a stream is enough: it is set again for the rest of the time when an event arrived.
void proxied_exchange::watch_for_stall()
{
    context_.deadlines.cancel(stall_timer_);
    const duration silent = context_.clock() - last_event_at_;
    const duration wait = std::max<duration>(1ms, flow_.stall_timeout() - silent);
    stall_timer_ = context_.deadlines.after(wait, [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->on_stall();
        }
    });
}

void proxied_exchange::on_stall()
{
    if (ended_ || relay_mode_ != relay_mode::stream) {
        return;
    }
    const time_point now = context_.clock();
    if (paused_at_) {
        last_event_at_ = now;
    }
    if (now - last_event_at_ < flow_.stall_timeout()) {
        watch_for_stall();
        return;
    }
    const std::string replica = flow_.placed() ? flow_.placed()->upstream.value : std::string{};
    auto step = flow_.on_stall(now);
    context_.counters.count("proxied_streams_stalled_total").add();
    context_.log.write("stream_stalled", {{"id", flow_.request().id},
                                          {"replica", replica},
                                          {"silent_ms", to_milliseconds(now - last_event_at_)},
                                          {"continued", step.has_value()}});
    if (step) {
        perform(std::move(*step));
    }
}

void proxied_exchange::on_caller_gone()
{
    if (ended_) {
        return;
    }
    cancel_calls();
    flow_.on_caller_gone(context_.clock());
    log_finished(0, "caller_gone", {});
    end();
}

void proxied_exchange::cancel_calls()
{
    context_.deadlines.cancel(pause_timer_);
    context_.deadlines.cancel(stall_timer_);
    paused_at_.reset();
    context_.deadlines.cancel(hedge_timer_);
    for (const auto& [attempt, call] : std::exchange(calls_, {})) {
        call->cancel();
    }
}

void proxied_exchange::cancel_call(std::uint32_t attempt)
{
    const auto it = calls_.find(attempt);
    if (it != calls_.end()) {
        const auto call = std::move(it->second);
        calls_.erase(it);
        call->cancel();
    }
}

void proxied_exchange::end()
{
    ended_ = true;
    context_.deadlines.cancel(deadline_);
}

void proxied_exchange::log_attempt_failed(const attempt_failure& failure)
{
    context_.counters
        .count("proxied_attempt_failures_total", {{"code", std::string{name_of(failure.code)}}})
        .add();
    const auto& placed = flow_.placed();
    context_.log.write("attempt_failed",
                       {{"id", flow_.request().id},
                        {"replica", placed ? placed->upstream.value : std::string{}},
                        {"code", name_of(failure.code)},
                        {"run", name_of(failure.run)},
                        {"detail", failure.detail},
                        {"parts", shared_part_ids(flow_.request())},
                        {"own_part", own_part_id(flow_.request())},
                        {"events", flow_.attempt_events()},
                        {"after_ms", to_milliseconds(context_.clock() - flow_.sent_at())}});
}

void proxied_exchange::log_answer_dropped(const response_head& head, const std::string& replica)
{
    const std::string_view why = head.not_run        ? "refused"
                                 : head.status < 500 ? "doubted"
                                                     : "failed";
    context_.counters.count("proxied_answers_dropped_total", {{"why", std::string{why}}}).add();
    context_.log.write("answer_dropped", {{"id", flow_.request().id},
                                          {"replica", replica},
                                          {"why", why},
                                          {"status", head.status},
                                          {"answered_by", head.answered_by},
                                          {"confidence", head.confidence.value_or(-1)}});
}

void proxied_exchange::log_set_aside(const response_head& head, const std::string& replica)
{
    if (head.quiet_unreadable) {
        context_.log.write("quiet_ignored", {{"replica", replica}, {"id", flow_.request().id}});
    }
    const std::string reason = flow_.take_set_aside();
    if (!reason.empty()) {
        context_.log.write("replica_set_aside",
                           {{"replica", replica},
                            {"reason", reason},
                            {"for_ms", to_milliseconds(head.quiet_for.value_or(duration{0}))},
                            {"id", flow_.request().id}});
    }
}

void proxied_exchange::log_finished(unsigned status, std::string_view outcome,
                                    std::string_view detail)
{
    const time_point now = context_.clock();
    const duration took = now - flow_.request().received_at;
    const auto& admitted = flow_.admitted();
    const std::string route = admitted ? admitted->route->name : std::string{};
    context_.counters.time("proxied_seconds", {{"outcome", std::string{outcome}}})
        .record(std::chrono::duration<double>(took).count());
    context_.log.write(
        "request_finished",
        {{"id", flow_.request().id},
         {"route", route},
         {"team", admitted ? admitted->team.value : std::string{}},
         {"outcome", outcome},
         {"status", status},
         {"run", name_of(flow_.run())},
         {"replica", last_replica_},
         {"model", last_model_},
         {"confidence", last_confidence_},
         {"sends", flow_.sends()},
         {"detail", detail},
         {"parts", shared_part_ids(flow_.request())},
         {"own_part", own_part_id(flow_.request())},
         {"took_ms", to_milliseconds(took)},
         {"first_ms",
          first_byte_at_ ? to_milliseconds(*first_byte_at_ - flow_.request().received_at) : -1},
         {"config_age_ms", to_milliseconds(context_.core.configuration_age(now))}});
}

} // namespace wagtailhitch
