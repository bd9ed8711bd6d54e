#include "net/platform_client.hpp"

#include "base/metrics.hpp"
#include "net/http_client.hpp"
#include "net/percent_encoding.hpp"
#include "net/platform_text.hpp"
#include "net/upstream_attempt.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <random>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;
using detail::whole_answer;

namespace {

constexpr unsigned max_backoff_doublings = 10;

detail::http_client_settings client_settings(const platform_client_settings& settings)
{
    detail::http_client_settings out;
    out.connect_timeout = settings.connect_timeout;
    out.sweep_interval = settings.sweep_interval;
    return out;
}

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

} // namespace

struct platform_client::state : std::enable_shared_from_this<state> {
    /// One followed stream. `follow_generation` identifies late answers to a replaced follow.
    struct follow {
        follow(asio::io_context& io) : timer{io} {}

        log_offset from{0};
        std::uint64_t follow_generation{0};
        unsigned failures{0};
        detail::http_call_ptr call;
        asio::steady_timer timer;
    };

    state(asio::io_context& context, platform_client_settings values, input_sink sink,
          metrics& registry)
        : io{context}, settings{std::move(values)}, sender{context, std::move(sink),
                                                           registry.count(
                                                               "platform_inputs_delayed_total")},
          client{context, client_settings(settings), sender}, vm_timer{context},
          rating_timer{context}, random{settings.seed}, appends_failed{registry.count(
                                                            "log_appends_failed_total")},
          reads_failed{registry.count("log_reads_failed_total")},
          vm_polls_failed{registry.count("vm_list_polls_failed_total")},
          rating_polls_failed{registry.count("rating_polls_failed_total")}
    {
    }

    detail::http_call_ptr fetch(detail::http_call call, detail::whole_answer_hook done);
    void append(log_append&& message);
    void set_follow(log_follow&& message);
    void poll(const std::string& stream);
    void on_poll(const std::string& stream, std::uint64_t follow_generation, time_point asked_at,
                 const whole_answer& answer);
    void schedule_poll(const std::string& stream, follow& to, bool timed_out);
    duration backoff(unsigned failures);
    void poll_vm_list();
    void poll_ratings();
    template<typename Poll> void repeat(asio::steady_timer& timer, Poll poll);
    void set_log_reachable(bool reachable);
    void shut_down();

    asio::io_context& io;
    platform_client_settings settings;
    input_sender sender;
    detail::http_client client;
    asio::steady_timer vm_timer;
    asio::steady_timer rating_timer;
    std::mt19937_64 random;
    counter& appends_failed;
    counter& reads_failed;
    counter& vm_polls_failed;
    counter& rating_polls_failed;
    std::map<std::string, follow> follows;
    std::uint64_t next_follow_generation{1};
    std::uint64_t next_rating{0};
    bool log_reachable{true};
};

detail::http_call_ptr platform_client::state::fetch(detail::http_call call,
                                                    detail::whole_answer_hook done)
{
    call.body_limit = settings.body_limit;
    return detail::fetch_whole(client, std::move(call), std::move(done));
}

void platform_client::state::append(log_append&& message)
{
    auto body = detail::append_body(message.records);
    if (!body) {
        const error reason{error_code::internal,
                           step::platform,
                           "log",
                           run_state::not_run,
                           "A record is not UTF-8 text.",
                           {}};
        sender.send(append_result{message.append, tl::unexpected(reason)});
        return;
    }
    detail::http_call call;
    call.address = settings.log_address;
    call.method = "POST";
    call.target = "/v1/streams/" + detail::percent_encode(message.stream) + "/records";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = std::move(*body);
    call.first_byte_timeout = settings.append_timeout;
    call.progress_timeout = settings.append_timeout;
    fetch(std::move(call), [this, id = message.append](const whole_answer& answer) {
        auto result = detail::parse_append(id, answer);
        if (!result.first_offset) {
            appends_failed.add();
        }
        if (answer.failure && answer.failure->timed_out) {
            client.close_idle_connections(settings.log_address);
        }
        sender.send(std::move(result));
    });
}

void platform_client::state::set_follow(log_follow&& message)
{
    const auto it = follows.find(message.stream);
    if (it != follows.end()) {
        it->second.timer.cancel();
        if (it->second.call) {
            it->second.call->cancel();
        }
        follows.erase(it);
    }
    if (!message.active) {
        return;
    }
    auto& added = follows.emplace(message.stream, io).first->second;
    added.from = message.from;
    added.follow_generation = next_follow_generation++;
    poll(message.stream);
}

void platform_client::state::poll(const std::string& stream)
{
    const auto it = follows.find(stream);
    if (it == follows.end()) {
        return;
    }
    follow& to = it->second;
    detail::http_call call;
    call.address = settings.log_address;
    call.target = "/v1/streams/" + detail::percent_encode(stream) +
                  "/records?from=" + std::to_string(to.from) +
                  "&limit=" + std::to_string(settings.max_poll_records) +
                  "&wait_ms=" + std::to_string(to_milliseconds(settings.poll_wait));
    call.first_byte_timeout = settings.poll_wait + settings.response_margin;
    call.progress_timeout = settings.response_margin;
    const time_point asked_at = clock_now();
    to.call = fetch(std::move(call), [this, stream, follow_generation = to.follow_generation,
                                      asked_at](const whole_answer& answer) {
        on_poll(stream, follow_generation, asked_at, answer);
    });
}

void platform_client::state::on_poll(const std::string& stream, std::uint64_t follow_generation,
                                     time_point asked_at, const whole_answer& answer)
{
    const auto it = follows.find(stream);
    if (it == follows.end() || it->second.follow_generation != follow_generation) {
        return;
    }
    follow& to = it->second;
    auto batch = detail::parse_batch(stream, to.from, settings.record_limit, answer);
    set_log_reachable(batch.has_value());
    if (!batch) {
        reads_failed.add();
        ++to.failures;
        sender.send(log_read_failed{stream, batch.error()});
        schedule_poll(stream, to, answer.failure && answer.failure->timed_out);
        return;
    }
    to.failures = 0;
    to.from = detail::next_offset(*batch);
    batch->asked_at = asked_at;
    sender.send(std::move(*batch));
    // Posted, because this call's hook is still running.
    asio::post(io, [self = shared_from_this(), stream, follow_generation] {
        const auto found = self->follows.find(stream);
        if (found != self->follows.end() && found->second.follow_generation == follow_generation) {
            self->poll(stream);
        }
    });
}

void platform_client::state::schedule_poll(const std::string& stream, follow& to, bool timed_out)
{
    if (timed_out) {
        // Pooled connections may be dead as well.
        client.close_idle_connections(settings.log_address);
    }
    // A dead connection does not imply that a new one fails, so the first retry is immediate.
    const bool at_once = timed_out && to.failures == 1;
    to.timer.expires_after(at_once ? duration{} : backoff(to.failures));
    to.timer.async_wait([self = shared_from_this(), stream,
                         follow_generation = to.follow_generation](boost_error ec) {
        const auto found = self->follows.find(stream);
        if (!ec && found != self->follows.end() &&
            found->second.follow_generation == follow_generation) {
            self->poll(stream);
        }
    });
}

duration platform_client::state::backoff(unsigned failures)
{
    const unsigned doublings = std::min(failures, max_backoff_doublings);
    const duration max_delay =
        std::min(settings.backoff_first * (1U << doublings), settings.backoff_limit);
    std::uniform_int_distribution<duration::rep> jitter{max_delay.count() / 2, max_delay.count()};
    return duration{jitter(random)};
}

void platform_client::state::set_log_reachable(bool reachable)
{
    if (reachable == log_reachable) {
        return;
    }
    log_reachable = reachable;
    LOG(INFO) << (reachable ? "The log can be read again." : "The log cannot be read.");
}

template<typename Poll> void platform_client::state::repeat(asio::steady_timer& timer, Poll poll)
{
    timer.expires_after(settings.poll_interval);
    timer.async_wait([self = shared_from_this(), poll](boost_error ec) {
        if (!ec) {
            poll(*self);
        }
    });
}

void platform_client::state::poll_vm_list()
{
    detail::http_call call;
    call.address = settings.vm_list_address;
    call.target = "/v1/vms";
    call.first_byte_timeout = settings.poll_interval + settings.response_margin;
    fetch(std::move(call), [this](const whole_answer& answer) {
        if (auto list = detail::parse_vm_list(answer)) {
            sender.send(std::move(*list));
        }
        else {
            vm_polls_failed.add();
            client.close_idle_connections(settings.vm_list_address);
        }
        repeat(vm_timer, [](state& self) { self.poll_vm_list(); });
    });
}

void platform_client::state::poll_ratings()
{
    detail::http_call call;
    call.address = settings.rating_address;
    call.target = "/v1/ratings?from=" + std::to_string(next_rating);
    call.first_byte_timeout = settings.poll_interval + settings.response_margin;
    fetch(std::move(call), [this](const whole_answer& answer) {
        if (auto page = detail::parse_ratings(answer)) {
            next_rating = page->next;
            if (!page->items.items.empty()) {
                sender.send(std::move(page->items));
            }
        }
        else {
            rating_polls_failed.add();
            client.close_idle_connections(settings.rating_address);
        }
        repeat(rating_timer, [](state& self) { self.poll_ratings(); });
    });
}

void platform_client::state::shut_down()
{
    vm_timer.cancel();
    rating_timer.cancel();
    for (auto& [stream, it] : follows) {
        it.timer.cancel();
        if (it.call) {
            it.call->cancel();
        }
    }
    follows.clear();
}

platform_client::platform_client(asio::io_context& io, platform_client_settings settings,
                                 input_sink sink, metrics& registry)
    : state_{std::make_shared<state>(io, std::move(settings), std::move(sink), registry)}
{
}

platform_client::~platform_client()
{
    state_->shut_down();
}

void platform_client::start()
{
    if (!state_->settings.vm_list_address.empty()) {
        asio::post(state_->io, [self = state_] { self->poll_vm_list(); });
    }
    if (!state_->settings.rating_address.empty()) {
        asio::post(state_->io, [self = state_] { self->poll_ratings(); });
    }
}

void platform_client::handle(log_append&& message)
{
    state_->append(std::move(message));
}

void platform_client::handle(log_follow&& message)
{
    state_->set_follow(std::move(message));
}

} // namespace wagtailhitch
