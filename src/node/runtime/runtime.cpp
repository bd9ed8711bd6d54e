#include "node/runtime/runtime.hpp"

#include "base/metrics.hpp"
#include "node/runtime/io_thread.hpp"
#include "node/runtime/output_router.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <array>
#include <csignal>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;

namespace {

/// Maximum inputs of one thread handled before those of the next thread.
constexpr std::size_t batch_size = 64;
/// Maximum consecutive batches before timers and signals are handled.
constexpr std::size_t max_consecutive_batches = 16;
/// How long a stopping process waits for callers to receive the ends of their answers.
constexpr std::chrono::seconds final_write_timeout{5};
/// Time to send the last peer frames and cancellations before the process ends.
constexpr std::chrono::milliseconds final_write_delay{50};

std::size_t index_of(io_thread_kind duty)
{
    return static_cast<std::size_t>(duty);
}

time_point clock_now()
{
    return time_point{std::chrono::steady_clock::now()};
}

} // namespace

/// One I/O thread with its two rings.
struct io_worker {
    io_worker(std::size_t entries, detail::waker& decisions, std::function<void()> drain)
        : wake_up{thread.io(), std::move(drain)}, outputs{entries, [this] { wake_up.wake(); }},
          inputs{entries, [&decisions] { decisions.wake(); }}
    {
    }

    detail::io_thread thread;
    detail::waker wake_up;
    ring<output> outputs;
    ring<input> inputs;
};

struct runtime::state {
    state(runtime_settings values, core_hooks hooks, metrics& counters);
    ~state() { stop_threads(); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    [[nodiscard]] io_worker& at(io_thread_kind duty) { return *duties.at(index_of(duty)); }
    [[nodiscard]] asio::io_context& io(io_thread_kind duty) { return at(duty).thread.io(); }
    [[nodiscard]] input_sink sink(io_thread_kind duty);
    [[nodiscard]] output_router::rings rings();
    void deliver_output(io_thread_kind duty, output& message) const;
    void drain_outputs(io_thread_kind duty);
    void drain_inputs();
    bool handle_batch(ring<input>& from);
    void decide(const input& message, time_point now);
    void dispatch(time_point now);
    void tick();
    void wait_for_signal();
    void begin_shutdown(const char* why);
    void finish();
    void wait_for_final_writes(time_point until);
    void stop_threads();

    runtime_settings settings;
    core_hooks core;
    metrics& registry;
    detail::io_thread decisions;
    detail::waker decisions_waker;
    std::array<std::unique_ptr<io_worker>, io_thread_count> duties;
    std::unique_ptr<caller_server> callers;
    std::unique_ptr<upstream_client> upstreams;
    std::unique_ptr<platform_client> platform;
    std::unique_ptr<peer_transport> peers;
    std::unique_ptr<output_router> router;
    asio::steady_timer tick_timer;
    asio::steady_timer stop_timer;
    asio::signal_set signals;
    std::vector<output> pending_outputs;
    bool shutdown_started{false};
    bool finishing{false};
};

runtime::state::state(runtime_settings values, core_hooks hooks, metrics& counters)
    : settings{std::move(values)}, core{std::move(hooks)}, registry{counters},
      decisions_waker{decisions.io(), [this] { drain_inputs(); }}, tick_timer{decisions.io()},
      stop_timer{decisions.io()}, signals{decisions.io()}
{
    for (const auto& [duty, name] : enum_names<io_thread_kind>) {
        duties.at(index_of(duty)) = std::make_unique<io_worker>(
            settings.ring_entries, decisions_waker, [this, d = duty] { drain_outputs(d); });
    }
    router = std::make_unique<output_router>(rings(), registry);
    callers = std::make_unique<caller_server>(io(io_thread_kind::callers), settings.callers,
                                              sink(io_thread_kind::callers), registry);
    upstreams = std::make_unique<upstream_client>(io(io_thread_kind::upstreams), settings.upstreams,
                                                  sink(io_thread_kind::upstreams), registry);
    platform = std::make_unique<platform_client>(io(io_thread_kind::platform), settings.platform,
                                                 sink(io_thread_kind::platform), registry);
    peers = std::make_unique<peer_transport>(io(io_thread_kind::peers), settings.peers,
                                             sink(io_thread_kind::peers), registry);
}

input_sink runtime::state::sink(io_thread_kind duty)
{
    return [to = &at(duty).inputs](input& message) { return to->try_push(message); };
}

output_router::rings runtime::state::rings()
{
    output_router::rings out{};
    for (const auto& [duty, name] : enum_names<io_thread_kind>) {
        out.at(index_of(duty)) = &at(duty).outputs;
    }
    return out;
}

void runtime::state::drain_outputs(io_thread_kind duty)
{
    auto& from = at(duty).outputs;
    while (auto message = from.pop()) {
        deliver_output(duty, *message);
    }
}

void runtime::state::deliver_output(io_thread_kind duty, output& message) const
{
    const auto carry_out = [](auto& target) {
        return [&target](auto& it) {
            if constexpr (requires { target.handle(std::move(it)); }) {
                target.handle(std::move(it));
            }
        };
    };
    switch (duty) {
    case io_thread_kind::callers:
        std::visit(carry_out(*callers), message);
        break;
    case io_thread_kind::upstreams:
        std::visit(carry_out(*upstreams), message);
        break;
    case io_thread_kind::platform:
        std::visit(carry_out(*platform), message);
        break;
    case io_thread_kind::peers:
        std::visit(carry_out(*peers), message);
        break;
    }
}

void runtime::state::drain_inputs()
{
    for (std::size_t round = 0; round < max_consecutive_batches; ++round) {
        bool any = false;
        for (const auto& duty : duties) {
            any = handle_batch(duty->inputs) || any;
        }
        if (!any) {
            return;
        }
    }
    decisions_waker.wake();
}

bool runtime::state::handle_batch(ring<input>& from)
{
    const time_point now = clock_now();
    std::size_t n = 0;
    while (n < batch_size) {
        const auto message = from.pop();
        if (!message) {
            break;
        }
        core.handle(*message, now, pending_outputs);
        ++n;
    }
    dispatch(now);
    return n == batch_size;
}

void runtime::state::decide(const input& message, time_point now)
{
    core.handle(message, now, pending_outputs);
    dispatch(now);
}

void runtime::state::dispatch(time_point now)
{
    while (!pending_outputs.empty()) {
        for (output& it : pending_outputs) {
            router->route(std::move(it));
        }
        pending_outputs.clear();
        while (const auto refusal = router->take_refusal()) {
            core.handle(*refusal, now, pending_outputs);
        }
    }
    if (router->has_stopped() && !finishing) {
        finishing = true;
        finish();
    }
}

void runtime::state::tick()
{
    const time_point now = clock_now();
    router->retry();
    core.tick(now, pending_outputs);
    dispatch(now);
    tick_timer.expires_after(settings.tick_interval);
    tick_timer.async_wait([this](boost_error ec) {
        if (!ec) {
            tick();
        }
    });
}

void runtime::state::wait_for_signal()
{
    signals.async_wait([this](boost_error ec, int number) {
        if (ec) {
            return;
        }
        begin_shutdown(number == SIGTERM ? "SIGTERM" : "SIGINT");
        wait_for_signal();
    });
}

void runtime::state::begin_shutdown(const char* why)
{
    if (shutdown_started) {
        return;
    }
    shutdown_started = true;
    LOG(INFO) << "Graceful shutdown started: " << why << ".";
    asio::post(io(io_thread_kind::callers), [this] { callers->drain(); });
    decide(stop_requested{}, clock_now());
}

void runtime::state::finish()
{
    LOG(INFO) << "No request is in flight any more; stopping the threads.";
    // Posted after the wake-up for the last outputs, so those outputs are processed first.
    asio::post(io(io_thread_kind::callers), [this] {
        drain_outputs(io_thread_kind::callers);
        callers->close_idle();
        asio::post(decisions.io(),
                   [this] { wait_for_final_writes(clock_now() + final_write_timeout); });
    });
}

void runtime::state::wait_for_final_writes(time_point until)
{
    stop_timer.expires_after(final_write_delay);
    stop_timer.async_wait([this, until](boost_error ec) {
        if (ec) {
            return;
        }
        asio::post(io(io_thread_kind::callers), [this, until] {
            const bool done = callers->is_idle() || clock_now() >= until;
            asio::post(decisions.io(), [this, until, done] {
                if (!done) {
                    wait_for_final_writes(until);
                    return;
                }
                for (const auto& duty : duties) {
                    duty->thread.stop();
                }
                decisions.stop();
            });
        });
    });
}

void runtime::state::stop_threads()
{
    decisions.stop();
    decisions.join();
    for (const auto& duty : duties) {
        duty->thread.stop();
        duty->thread.join();
    }
}

runtime::runtime(runtime_settings settings, core_hooks core, metrics& registry)
    : state_{std::make_unique<state>(std::move(settings), std::move(core), registry)}
{
}

runtime::~runtime() = default;

expected<void> runtime::start()
{
    if (auto bound = state_->callers->start(); !bound) {
        return bound;
    }
    if (auto bound = state_->peers->start(); !bound) {
        return bound;
    }
    state_->platform->start();
    if (state_->settings.handle_signals) {
        state_->signals.add(SIGTERM);
        state_->signals.add(SIGINT);
        state_->wait_for_signal();
    }
    asio::post(state_->decisions.io(), [this] { state_->tick(); });
    for (const auto& [duty, name] : enum_names<io_thread_kind>) {
        state_->at(duty).thread.start(std::string{name});
    }
    state_->decisions.start("decisions");
    return {};
}

void runtime::request_stop()
{
    asio::post(state_->decisions.io(),
               [this] { state_->begin_shutdown("requested by the process"); });
}

void runtime::wait()
{
    state_->decisions.join();
    for (const auto& duty : state_->duties) {
        duty->thread.join();
    }
}

std::string runtime::caller_address() const
{
    return state_->callers->address();
}

std::string runtime::peer_address() const
{
    return state_->peers->address();
}

} // namespace wagtailhitch
