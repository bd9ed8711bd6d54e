#include "net/caller_server.hpp"

#include "base/metrics.hpp"
#include "net/caller_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wagtailhitch {

namespace asio = boost::asio;
using boost_error = boost::system::error_code;
using detail::caller_connection;
using detail::caller_connection_ptr;

namespace {

/// Delay after a failed accept, which usually means that no file descriptors are left.
constexpr std::chrono::milliseconds accept_pause{100};
constexpr std::string_view json_type = "application/json";
constexpr std::string_view text_type = "text/plain; charset=utf-8";

error caller_error(error_code code, std::string detail)
{
    return error{code, step::admit, {}, run_state::not_run, std::move(detail), 100ms};
}

detail::served_page json_page(const json_ptr& body)
{
    if (!body) {
        const error reason{error_code::not_ready,
                           step::configure,
                           {},
                           run_state::not_run,
                           "No configuration is in force yet.",
                           {}};
        return {503, std::string{json_type}, detail::error_body(reason)};
    }
    return {200, std::string{json_type},
            body->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace

struct caller_server::state : detail::caller_host, std::enable_shared_from_this<state> {
    state(asio::io_context& context, caller_server_settings values, input_sink sink,
          metrics& counters)
        : io{context}, limits{std::move(values)}, registry{counters},
          sender{context, std::move(sink), counters.count("caller_inputs_delayed_total")},
          acceptor{context.get_executor()}, sweep_timer{context},
          accept_timer{context}, requests{counters.count("caller_requests_total")},
          dropped{counters.count("caller_outputs_dropped_total")}, gone{counters.count(
                                                                       "callers_gone_total")},
          slow{counters.count("callers_slow_total")}, open{counters.level("caller_connections")}
    {
    }

    // caller_host
    [[nodiscard]] const caller_server_settings& settings() const override { return limits; }
    [[nodiscard]] bool draining() const override { return is_draining; }
    std::optional<detail::served_page> page(std::string_view method,
                                            std::string_view path) override;
    expected<caller_token> submit(caller_request request, caller_connection_ptr from) override;
    void release(caller_token token) override { waiting.erase(token); }
    void report_gone(caller_token token) override;
    void count_refusal(const error& reason) override;
    void count_slow_caller() override { slow.add(); }
    void flush_later(caller_connection_ptr connection) override;
    void closed(const caller_connection_ptr& connection) override;

    void accept();
    void on_accepted(boost_error ec, detail::tcp_socket socket);
    void sweep();
    void shut_down();
    [[nodiscard]] detail::served_page ready_page() const;

    template<typename Message> void deliver(Message&& message)
    {
        const auto it = waiting.find(message.caller);
        if (it == waiting.end()) {
            dropped.add();
            return;
        }
        const caller_connection_ptr connection = it->second;
        connection->handle(std::forward<Message>(message));
    }

    asio::io_context& io;
    caller_server_settings limits;
    metrics& registry;
    input_sender sender;
    detail::tcp_acceptor acceptor;
    asio::steady_timer sweep_timer;
    asio::steady_timer accept_timer;
    counter& requests;
    counter& dropped;
    counter& gone;
    counter& slow;
    gauge& open;
    std::string bound;
    bool is_draining{false};
    published_state published;
    caller_token next_token{1};
    std::unordered_map<caller_token, caller_connection_ptr> waiting;
    std::unordered_set<caller_connection_ptr> connections;
    std::vector<caller_connection_ptr> connections_to_flush;
};

std::optional<detail::served_page> caller_server::state::page(std::string_view method,
                                                              std::string_view path)
{
    if (method != "GET") {
        return std::nullopt;
    }
    if (path == "/healthz") {
        return detail::served_page{200, std::string{text_type}, "ok\n"};
    }
    if (path == "/readyz") {
        return ready_page();
    }
    if (path == "/metrics") {
        return detail::served_page{200, "text/plain; version=0.0.4", registry.render()};
    }
    if (path == "/v1/models") {
        return json_page(published.models);
    }
    if (path == "/v1/in-force") {
        return json_page(published.in_force);
    }
    if (path == "/v1/status") {
        return json_page(published.status);
    }
    return std::nullopt;
}

detail::served_page caller_server::state::ready_page() const
{
    if (is_draining) {
        return {503, std::string{text_type}, "The node is shutting down.\n"};
    }
    if (!published.ready) {
        const std::string& why = published.not_ready_reason;
        return {503, std::string{text_type},
                (why.empty() ? "The node has not started up yet." : why) + "\n"};
    }
    return {200, std::string{text_type}, "ready\n"};
}

expected<caller_token> caller_server::state::submit(caller_request request,
                                                    caller_connection_ptr from)
{
    requests.add();
    const caller_token token = next_token++;
    request.caller = token;
    if (!sender.offer(std::move(request))) {
        return tl::unexpected(
            caller_error(error_code::ring_full, "The input queue of the node is full."));
    }
    waiting.emplace(token, std::move(from));
    return token;
}

void caller_server::state::report_gone(caller_token token)
{
    waiting.erase(token);
    gone.add();
    sender.send(caller_gone{token});
}

void caller_server::state::count_refusal(const error& reason)
{
    registry.count("caller_refusals_total", {{"code", std::string{name_of(reason.code)}}}).add();
}

void caller_server::state::flush_later(caller_connection_ptr connection)
{
    connections_to_flush.push_back(std::move(connection));
    if (connections_to_flush.size() > 1) {
        return;
    }
    asio::post(io, [self = shared_from_this()] {
        for (const auto& it : std::exchange(self->connections_to_flush, {})) {
            it->flush();
        }
    });
}

void caller_server::state::closed(const caller_connection_ptr& connection)
{
    connections.erase(connection);
    open.set(static_cast<double>(connections.size()));
}

void caller_server::state::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost_error ec, detail::tcp_socket socket) {
        self->on_accepted(ec, std::move(socket));
    });
}

void caller_server::state::on_accepted(boost_error ec, detail::tcp_socket socket)
{
    if (ec == asio::error::operation_aborted || !acceptor.is_open()) {
        return;
    }
    if (ec) {
        accept_timer.expires_after(accept_pause);
        accept_timer.async_wait([self = shared_from_this()](boost_error failure) {
            if (!failure) {
                self->accept();
            }
        });
        return;
    }
    socket.set_option(detail::tcp::no_delay{true}, ec);
    const bool full = connections.size() >= limits.connection_limit;
    auto connection = std::make_shared<caller_connection>(*this, std::move(socket));
    connections.insert(connection);
    open.set(static_cast<double>(connections.size()));
    if (full) {
        connection->begin_refused(
            caller_error(error_code::queue_full, "The node has too many open connections."));
    }
    else {
        connection->begin();
    }
    accept();
}

void caller_server::state::sweep()
{
    sweep_timer.expires_after(limits.sweep_interval);
    sweep_timer.async_wait([self = shared_from_this()](boost_error ec) {
        if (ec) {
            return;
        }
        const time_point now{std::chrono::steady_clock::now()};
        const std::vector<caller_connection_ptr> all{self->connections.begin(),
                                                     self->connections.end()};
        for (const auto& it : all) {
            it->sweep(now);
        }
        self->sweep();
    });
}

void caller_server::state::shut_down()
{
    boost_error ignored;
    acceptor.close(ignored);
    sweep_timer.cancel();
    accept_timer.cancel();
    for (const auto& it : connections) {
        it->close_without_report();
    }
    connections.clear();
    waiting.clear();
    connections_to_flush.clear();
}

caller_server::caller_server(asio::io_context& io, caller_server_settings settings, input_sink sink,
                             metrics& registry)
    : state_{std::make_shared<state>(io, std::move(settings), std::move(sink), registry)}
{
}

caller_server::~caller_server()
{
    state_->shut_down();
}

expected<void> caller_server::start()
{
    if (auto bound = detail::listen_on(state_->acceptor, state_->limits.address); !bound) {
        return bound;
    }
    state_->bound = detail::to_string(state_->acceptor.local_endpoint());
    state_->accept();
    state_->sweep();
    return {};
}

std::string caller_server::address() const
{
    return state_->bound;
}

void caller_server::handle(answer_start&& message)
{
    state_->deliver(std::move(message));
}

void caller_server::handle(answer_chunk&& message)
{
    state_->deliver(std::move(message));
}

void caller_server::handle(answer_end&& message)
{
    state_->deliver(std::move(message));
}

void caller_server::handle(answer_whole&& message)
{
    state_->deliver(std::move(message));
}

void caller_server::handle(answer_error&& message)
{
    state_->deliver(std::move(message));
}

void caller_server::handle(published_state&& message)
{
    state_->published = std::move(message);
}

void caller_server::drain()
{
    state_->is_draining = true;
}

void caller_server::close_idle()
{
    state_->is_draining = true;
    boost_error ignored;
    state_->acceptor.close(ignored);
    const std::vector<caller_connection_ptr> all{state_->connections.begin(),
                                                 state_->connections.end()};
    for (const auto& it : all) {
        it->close_when_idle();
    }
}

bool caller_server::is_idle() const
{
    return std::none_of(state_->connections.begin(), state_->connections.end(),
                        [](const auto& it) { return it->busy(); });
}

} // namespace wagtailhitch
