#include "net/upstream_client.hpp"

#include "base/metrics.hpp"
#include "net/http_client.hpp"
#include "net/percent_encoding.hpp"
#include "net/upstream_attempt.hpp"
#include "net/upstream_probe.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace wagtailhitch {

using json = nlohmann::json;

namespace {

/// Failed generations that can still be cancelled by id; the engine ends older ones by itself.
constexpr std::size_t max_failed_generations = 256;
constexpr std::size_t probe_body_limit = std::size_t{256} * 1024;

detail::http_client_settings client_settings(const upstream_client_settings& settings)
{
    detail::http_client_settings out;
    out.connect_timeout = settings.connect_timeout;
    out.idle_timeout = settings.idle_timeout;
    out.idle_per_address = settings.idle_per_upstream;
    out.sweep_interval = settings.sweep_interval;
    return out;
}

} // namespace

/// An upstream and the generation of its process.
using upstream_incarnation = std::pair<upstream_id, std::uint32_t>;

struct upstream_client::state : std::enable_shared_from_this<state> {
    struct running_attempt {
        std::shared_ptr<detail::upstream_attempt> attempt;
        detail::http_call_ptr call;
    };

    state(boost::asio::io_context& context, const upstream_client_settings& values, input_sink sink,
          metrics& registry)
        : io{context}, settings{values}, sender{context, std::move(sink),
                                                registry.count("upstream_inputs_delayed_total")},
          client{context, client_settings(values), sender}, started{registry.count(
                                                                "upstream_attempts_total")},
          finished{registry.count("upstream_attempts_finished_total")},
          cancelled{registry.count("upstream_attempts_cancelled_total")}, counters{registry}
    {
    }

    void start(attempt_start&& message);
    void emit(const attempt_id& id, const std::string& address, input message);
    void note(const attempt_id& id, const upstream_notice& notice);
    void note_leaving(const attempt_id& id, const upstream_id& upstream, std::uint64_t run);
    [[nodiscard]] bool is_quiet(const upstream_incarnation& upstream) const;
    void record_failure(const std::string& address, const attempt_failed& failure);
    void cancel(attempt_cancel&& message);
    void cancel_generation(const attempt_cancel& message);
    void probe(probe_upstream&& message);
    void poll_cache_events(const probe_upstream& message);
    void order(upstream_order&& message);

    boost::asio::io_context& io;
    upstream_client_settings settings;
    input_sender sender;
    detail::http_client client;
    counter& started;
    counter& finished;
    counter& cancelled;
    metrics& counters;
    std::map<attempt_id, running_attempt> attempts;
    std::deque<attempt_id> failed_generations;
    std::map<upstream_id, std::uint64_t> next_cache_event;
    /// Upstreams that want no requests until then. Kept here as well, since decisions to send may
    /// be under way when the upstream asks.
    std::map<upstream_incarnation, time_point> quiet_until;
    std::map<upstream_id, std::uint64_t> leaving_runs; ///< the last one that was logged
};

void upstream_client::state::start(attempt_start&& message)
{
    started.add();
    const attempt_id id = message.attempt;
    const std::string address = message.address;
    const upstream_incarnation upstream{message.upstream, message.upstream_generation};
    auto attempt = std::make_shared<detail::upstream_attempt>(
        std::move(message), settings.chunk_limit,
        [this, id, address](input event) { emit(id, address, std::move(event)); });
    auto call = attempt->call(settings.body_limit);
    detail::http_hooks hooks;
    hooks.on_header = [attempt](detail::answer_head head) { attempt->on_header(std::move(head)); };
    hooks.on_data = [attempt](std::string_view bytes) { attempt->on_data(bytes); };
    hooks.on_end = [attempt](const detail::call_failure* failure) { attempt->on_end(failure); };
    hooks.may_send = [this, upstream] { return !is_quiet(upstream); };
    auto& slot = attempts[id];
    slot.attempt = attempt;
    auto handle = client.start(std::move(call), std::move(hooks));
    const auto it = attempts.find(id);
    if (it != attempts.end()) {
        it->second.call = std::move(handle);
    }
}

void upstream_client::state::emit(const attempt_id& id, const std::string& address, input message)
{
    if (const auto* failure = std::get_if<attempt_failed>(&message)) {
        record_failure(address, *failure);
    }
    else if (std::holds_alternative<attempt_finished>(message)) {
        finished.add();
        attempts.erase(id);
    }
    else if (const auto* notice = std::get_if<upstream_notice>(&message)) {
        note(id, *notice);
    }
    sender.send(std::move(message));
}

void upstream_client::state::note(const attempt_id& id, const upstream_notice& notice)
{
    const auto it = attempts.find(id);
    if (it == attempts.end()) {
        return;
    }
    if (notice.leaving) {
        note_leaving(id, it->second.attempt->message().upstream, notice.run);
    }
    if (!notice.quiet_for) {
        return;
    }
    const time_point now = settings.clock();
    std::erase_if(quiet_until, [now](const auto& item) { return item.second <= now; });
    const attempt_start& sent = it->second.attempt->message();
    time_point& until = quiet_until[{sent.upstream, sent.upstream_generation}];
    const time_point asked = now + std::min(*notice.quiet_for, settings.longest_quiet);
    if (asked > until) {
        until = asked;
        LOG(INFO) << "upstream_set_aside upstream=" << sent.upstream.value
                  << " reason=asked_for_quiet for_ms=" << to_milliseconds(asked - now)
                  << " attempt=" << to_string(id);
    }
}

void upstream_client::state::note_leaving(const attempt_id& id, const upstream_id& upstream,
                                          std::uint64_t run)
{
    const auto [known, added] = leaving_runs.emplace(upstream, run);
    if (added || known->second < run) {
        known->second = run;
        LOG(INFO) << "upstream_set_aside upstream=" << upstream.value
                  << " reason=leaving run=" << run << " attempt=" << to_string(id);
    }
}

bool upstream_client::state::is_quiet(const upstream_incarnation& upstream) const
{
    const auto it = quiet_until.find(upstream);
    return it != quiet_until.end() && settings.clock() < it->second;
}

void upstream_client::state::record_failure(const std::string& address,
                                            const attempt_failed& failure)
{
    counters
        .count("upstream_attempts_failed_total",
               {{"code", std::string{name_of(failure.reason.code)}},
                {"run", std::string{name_of(failure.reason.run)}}})
        .add();
    if (failure.reason.code == error_code::upstream_timeout ||
        failure.reason.code == error_code::upstream_connect_failed) {
        // Pooled connections to an unresponsive upstream may be dead as well.
        client.close_idle_connections(address);
    }
    const auto it = attempts.find(failure.attempt);
    if (it == attempts.end()) {
        return;
    }
    const running_attempt failed = std::move(it->second);
    attempts.erase(it);
    if (failed.attempt->message().kind != attempt_kind::service_call) {
        failed_generations.push_back(failure.attempt);
        if (failed_generations.size() > max_failed_generations) {
            failed_generations.pop_front();
        }
    }
    if (failed.call) {
        // The upstream may still be sending. Posted, because the call's own hook is running.
        boost::asio::post(io, [call = failed.call] { call->cancel(); });
    }
}

void upstream_client::state::cancel(attempt_cancel&& message)
{
    const auto it = attempts.find(message.attempt);
    if (it != attempts.end()) {
        const bool generation = it->second.attempt->message().kind != attempt_kind::service_call;
        cancelled.add();
        it->second.call->cancel();
        attempts.erase(it);
        if (generation) {
            cancel_generation(message);
        }
        return;
    }
    const auto failed =
        std::find(failed_generations.begin(), failed_generations.end(), message.attempt);
    if (failed != failed_generations.end()) {
        failed_generations.erase(failed);
        cancel_generation(message);
    }
}

void upstream_client::state::cancel_generation(const attempt_cancel& message)
{
    detail::http_call call;
    const auto name =
        message.generation.empty() ? to_string(message.attempt.request) : message.generation;
    call.address = message.address;
    call.method = "DELETE";
    call.target = "/v1/generations/" + detail::percent_encode(name);
    call.headers = {{"X-Request-Id", name}, {"X-Attempt", std::to_string(message.attempt.number)}};
    call.first_byte_timeout = settings.cancel_timeout;
    call.progress_timeout = settings.cancel_timeout;
    detail::fetch_whole(client, std::move(call), [](const detail::whole_answer&) {});
}

void upstream_client::state::probe(probe_upstream&& message)
{
    detail::http_call call;
    call.address = message.address;
    call.target = message.engine ? "/v1/load" : "/healthz";
    call.first_byte_timeout = settings.probe_timeout;
    call.progress_timeout = settings.probe_timeout;
    call.body_limit = probe_body_limit;
    detail::fetch_whole(client, std::move(call),
                        [this, message](const detail::whole_answer& answer) {
                            probe_result result = detail::parse_probe(message, answer);
                            const bool reachable = result.reachable;
                            sender.send(std::move(result));
                            if (message.engine && reachable) {
                                poll_cache_events(message);
                            }
                        });
}

void upstream_client::state::poll_cache_events(const probe_upstream& message)
{
    detail::http_call call;
    const std::uint64_t from = next_cache_event[message.upstream];
    call.address = message.address;
    call.target = "/v1/cache-events?from=" + std::to_string(from);
    call.first_byte_timeout = settings.probe_timeout;
    call.progress_timeout = settings.probe_timeout;
    detail::fetch_whole(client, std::move(call),
                        [this, id = message.upstream, from](const detail::whole_answer& answer) {
                            auto page = detail::parse_cache_events(id, from, answer);
                            next_cache_event[id] = page.next;
                            if (page.events.gap || !page.events.stored.empty() ||
                                !page.events.evicted.empty()) {
                                sender.send(std::move(page.events));
                            }
                        });
}

void upstream_client::state::order(upstream_order&& message)
{
    detail::http_call call;
    call.address = message.address;
    call.method = "POST";
    call.target = "/v1/orders";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = detail::order_body(message);
    call.first_byte_timeout = settings.order_timeout;
    call.progress_timeout = settings.order_timeout;
    detail::fetch_whole(client, std::move(call),
                        [this, message](const detail::whole_answer& answer) {
                            sender.send(detail::parse_order_result(message, answer));
                        });
}

upstream_client::upstream_client(boost::asio::io_context& io,
                                 const upstream_client_settings& settings, input_sink sink,
                                 metrics& registry)
    : state_{std::make_shared<state>(io, settings, std::move(sink), registry)}
{
}

upstream_client::~upstream_client() = default;

void upstream_client::handle(attempt_start&& message)
{
    state_->start(std::move(message));
}

void upstream_client::handle(attempt_cancel&& message)
{
    state_->cancel(std::move(message));
}

void upstream_client::handle(probe_upstream&& message)
{
    state_->probe(std::move(message));
}

void upstream_client::handle(upstream_order&& message)
{
    state_->order(std::move(message));
}

} // namespace wagtailhitch
