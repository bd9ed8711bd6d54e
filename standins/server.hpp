#pragma once

#include "base/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// HTTP server for the stand-ins: one thread, so handlers need no lock.
//
//   event_loop loop;
//   server_hooks hooks;
//   hooks.handle = [](const http_request& request, const exchange_ptr& out) {
//       out->reply(200, {{"path", request.path}});
//   };
//   return run_server(loop, {.port = 0, .port_file = "port"}, hooks);
//
// POST /control sets faults, GET /control reads them, GET /healthz always answers unless a
// fault says otherwise. A handler that throws is answered with status 400 and the message.

namespace wagtailhitch::standins {

using json = nlohmann::json;

struct http_request {
    std::string method;
    std::string path; ///< percent-decoded, without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    /// `fallback` when the query has no such parameter. Throws std::invalid_argument.
    [[nodiscard]] std::uint64_t number(const std::string& name, std::uint64_t fallback) const;
};

/// One request's answer: either reply() once, or start_events(), event()..., end().
/// Calls after the answer's end, or on a broken connection, have no effect.
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    virtual ~exchange() = default;

    virtual void reply(unsigned status, const json& body) = 0;
    virtual void reply_text(unsigned status, std::string_view type, std::string_view body) = 0;
    /// Answers 503 with Retry-After.
    virtual void refuse(duration retry_after, const json& body) = 0;
    /// Server-sent events with chunked transfer.
    virtual void start_events() = 0;
    virtual void event(std::string_view data) = 0;
    virtual void end() = 0;
    /// Closes the connection without completing the answer.
    virtual void drop() = 0;
    [[nodiscard]] virtual bool open() const = 0;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// Timers of the server's thread.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void after(duration wait, std::function<void()> action);
    [[nodiscard]] static time_point now();

    struct state;
    [[nodiscard]] state& internals() { return *state_; }

private:
    std::unique_ptr<state> state_;
};

struct listen_options {
    std::uint16_t port{0}; ///< 0: chosen by the kernel
    std::string port_file; ///< receives the port number once the server listens
};

struct server_hooks {
    std::function<void(const http_request&, const exchange_ptr&)> handle;
    /// Handles the keys of POST /control that are not in server_faults. Throws on unknown keys.
    std::function<void(const json&)> control;
    /// Header lines of all answers, each with its end of line.
    std::function<std::string()> headers;
    /// Added to the answer of GET /control.
    std::function<json()> state;
};

/// Faults that every stand-in has; keys of POST /control.
struct server_faults {
    bool silent{false};            ///< requests are read and never handled or answered
    unsigned fail_status{0};       ///< answers every request with this status, unhandled
    std::uint64_t fail_next{0};    ///< answers the next N requests with 503, unhandled
    std::uint64_t lose_replies{0}; ///< handles the next N requests, then closes without an answer
    std::uint64_t slow_ms{0};      ///< waits before handling
};

/// Serves on 127.0.0.1 until SIGTERM or SIGINT; returns the process's exit code.
int run_server(event_loop& loop, const listen_options& options, const server_hooks& hooks);

} // namespace wagtailhitch::standins
