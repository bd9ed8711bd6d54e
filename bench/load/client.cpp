#include "load/client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <stdexcept>

namespace wagtailhitch::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;
using error_code = boost::system::error_code;

namespace {

constexpr std::uint64_t max_answer_bytes = 16ULL * 1024 * 1024;
constexpr std::string_view closing_event = "data: [DONE]";

struct open_connection {
    explicit open_connection(asio::io_context& io) : stream{io} {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};
using connection_ptr = std::unique_ptr<open_connection>;

tcp::endpoint parse_target(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument{"Expected IP:port, got " + text + "."};
    }
    const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

double ms_since(steady::time_point from)
{
    return std::chrono::duration<double, std::milli>(steady::now() - from).count();
}

/// Returns the error code of a refusal `{"error":{"code":...}}` or `{"error":"..."}`.
std::string refusal_code(unsigned status, const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("error")) {
        const auto& error = parsed["error"];
        if (error.is_object() && error.contains("code") && error["code"].is_string()) {
            return error["code"].get<std::string>();
        }
        if (error.is_string()) {
            return error.get<std::string>();
        }
    }
    return "status_" + std::to_string(status);
}

std::string broken_code(error_code ec, const result& so_far)
{
    if (ec == beast::error::timeout) {
        return "timeout";
    }
    return so_far.first_token_ms == 0 ? "closed_before_answer" : "closed_during_answer";
}

class sender {
public:
    sender(asio::io_context& io, const load_settings& settings,
           const std::vector<planned_request>& plan)
        : io_{io}, settings_{settings}, plan_{plan}, results_(plan.size()),
          idle_(settings.targets.size())
    {
        for (const std::string& it : settings.targets) {
            endpoints_.push_back(parse_target(it));
        }
    }

    asio::awaitable<void> send_on_schedule();
    [[nodiscard]] std::vector<result> take_results() { return std::move(results_); }

private:
    asio::awaitable<void> send(std::size_t index, steady::time_point arrival);
    asio::awaitable<error_code> transfer(open_connection& to, const planned_request& request,
                                         steady::time_point arrival, result& out, bool& keep);
    connection_ptr take_idle(std::size_t target);
    asio::awaitable<connection_ptr> connect(std::size_t target, steady::time_point limit,
                                            error_code& ec);
    void classify_response(const http::response<http::string_body>& answer, result& out) const;

    asio::io_context& io_;
    const load_settings& settings_;
    const std::vector<planned_request>& plan_;
    std::vector<result> results_;
    std::vector<tcp::endpoint> endpoints_;
    std::vector<std::vector<connection_ptr>> idle_;
    std::size_t in_flight_{0};
};

asio::awaitable<void> sender::send_on_schedule()
{
    const auto start = steady::now();
    asio::steady_timer timer{io_};
    for (std::size_t i = 0; i < plan_.size(); ++i) {
        const auto arrival = start + plan_[i].at;
        timer.expires_at(arrival);
        co_await timer.async_wait(asio::use_awaitable);
        if (in_flight_ >= settings_.max_open) {
            results_[i].end = outcome::not_sent;
            continue;
        }
        ++in_flight_;
        asio::co_spawn(io_, send(i, arrival), asio::detached);
    }
}

/// Returns an open idle connection and drops those that the server has closed, as callers' HTTP
/// clients do.
connection_ptr sender::take_idle(std::size_t target)
{
    auto& idle = idle_[target];
    while (!idle.empty()) {
        auto out = std::move(idle.back());
        idle.pop_back();
        error_code ec;
        char byte = 0;
        auto& socket = out->stream.socket();
        socket.non_blocking(true, ec);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        if (ec == asio::error::would_block) {
            return out;
        }
    }
    return nullptr;
}

asio::awaitable<connection_ptr> sender::connect(std::size_t target, steady::time_point limit,
                                                error_code& ec)
{
    if (auto kept = take_idle(target)) {
        kept->stream.expires_at(limit);
        co_return kept;
    }
    auto out = std::make_unique<open_connection>(io_);
    out->stream.expires_at(limit);
    co_await out->stream.async_connect(endpoints_[target],
                                       asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        out->stream.socket().set_option(tcp::no_delay{true});
    }
    co_return out;
}

asio::awaitable<void> sender::send(std::size_t index, steady::time_point arrival)
{
    const planned_request& request = plan_[index];
    result& out = results_[index];
    error_code ec;
    auto connection = co_await connect(request.target, arrival + settings_.timeout, ec);
    if (ec) {
        out.code = "connect_failed";
    }
    else {
        bool keep = false;
        ec = co_await transfer(*connection, request, arrival, out, keep);
        if (keep) {
            idle_[request.target].push_back(std::move(connection));
        }
        if (ec) {
            out.end = outcome::broken;
            out.code = broken_code(ec, out);
        }
    }
    --in_flight_;
}

asio::awaitable<error_code> sender::transfer(open_connection& to, const planned_request& request,
                                             steady::time_point arrival, result& out, bool& keep)
{
    http::request<http::string_body> message{http::verb::post, "/v1/chat/completions", 11};
    message.set(http::field::host, settings_.targets[request.target]);
    message.set(http::field::content_type, "application/json");
    if (!request.token.empty()) {
        message.set(http::field::authorization, "Bearer " + request.token);
    }
    message.body() = request.body;
    message.prepare_payload();
    error_code ec;
    auto use = asio::redirect_error(asio::use_awaitable, ec);
    co_await http::async_write(to.stream, message, use);
    if (ec) {
        co_return ec;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    while (!parser.is_done()) {
        co_await http::async_read_some(to.stream, to.buffer, parser, use);
        if (ec) {
            co_return ec;
        }
        if (out.first_token_ms == 0 && parser.is_header_done() && !parser.get().body().empty()) {
            out.first_token_ms = ms_since(arrival);
        }
    }
    out.total_ms = ms_since(arrival);
    classify_response(parser.get(), out);
    keep = parser.get().keep_alive();
    co_return error_code{};
}

void sender::classify_response(const http::response<http::string_body>& answer, result& out) const
{
    out.answer_bytes = answer.body().size();
    if (answer.result_int() != 200) {
        out.end = outcome::refused;
        out.code = refusal_code(answer.result_int(), answer.body());
        return;
    }
    const bool closed = !settings_.stream || answer.body().find(closing_event) != std::string::npos;
    out.end = closed ? outcome::answered : outcome::broken;
    out.code = closed ? "" : "no_closing_event";
}

} // namespace

std::vector<result> run_plan(const load_settings& settings,
                             const std::vector<planned_request>& plan)
{
    asio::io_context io{1};
    sender all{io, settings, plan};
    asio::co_spawn(io, all.send_on_schedule(), asio::detached);
    io.run();
    return all.take_results();
}

} // namespace wagtailhitch::load
