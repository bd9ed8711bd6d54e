#include "base/digest.hpp"
#include "standins.hpp"

#include <set>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

/// How often one call ran, by its key when it has one, otherwise by its body.
struct execution {
    std::string path;
    std::string key;
    std::string body_digest;
    std::uint64_t count{0};
};

class plain_service {
public:
    plain_service(event_loop& loop, service_settings settings)
        : loop_{loop}, settings_{std::move(settings)},
          run_{static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() /
                                          std::chrono::microseconds{1})}
    {
    }

    void handle(const http_request& request, const exchange_ptr& out);
    void control(const json& change);
    [[nodiscard]] json state() const
    {
        return {{"leaving", leaving_},
                {"fail_after_run", fail_after_run_},
                {"stall_after_run", stall_after_run_},
                {"executed", executed_}};
    }

    [[nodiscard]] std::string headers() const;

private:
    void execute(const http_request& request, const exchange_ptr& out);
    [[nodiscard]] json load() const;
    [[nodiscard]] json executions() const;

    event_loop& loop_;
    service_settings settings_;
    std::uint64_t run_;
    std::map<std::string, execution> executions_;
    std::uint64_t executed_{0};
    std::uint32_t running_{0};
    bool leaving_{false};
    time_point quiet_until_{};
    std::uint64_t fail_after_run_{0};
    std::uint64_t stall_after_run_{0};
};

void plain_service::handle(const http_request& request, const exchange_ptr& out)
{
    if (request.path == "/v1/load" || request.path == "/healthz") {
        out->reply(200, load());
        return;
    }
    if (request.path == "/v1/executions") {
        out->reply(200, executions());
        return;
    }
    if (event_loop::now() < quiet_until_) {
        out->refuse(quiet_until_ - event_loop::now(), {{"error", "quiet"}});
        return;
    }
    ++running_;
    loop_.after(settings_.service_time, [this, request, out] {
        --running_;
        execute(request, out);
    });
}

void plain_service::execute(const http_request& request, const exchange_ptr& out)
{
    ++executed_;
    const std::string key = request.header("idempotency-key");
    const std::string digest = digest128_hex(request.body);
    const std::string name = request.path + (key.empty() ? "#" + digest : "!" + key);
    execution& entry = executions_[name];
    entry.path = request.path;
    entry.key = key;
    entry.body_digest = digest;
    ++entry.count;
    if (stall_after_run_ > 0) {
        --stall_after_run_;
        return;
    }
    if (fail_after_run_ > 0) {
        --fail_after_run_;
        out->drop();
        return;
    }
    out->reply(200, {{"service", settings_.name},
                     {"call", request.path},
                     {"receipt", digest.substr(0, 16)},
                     {"execution", entry.count}});
}

json plain_service::load() const
{
    return {{"run", run_}, {"running", running_}, {"waiting", 0},
            {"age_ms", 0}, {"leaving", leaving_}, {"loaded", json::array()}};
}

json plain_service::executions() const
{
    json items = json::array();
    for (const auto& [name, it] : executions_) {
        items.push_back({{"path", it.path},
                         {"key", it.key},
                         {"body_digest", it.body_digest},
                         {"count", it.count}});
    }
    return {{"executed", executed_}, {"items", std::move(items)}};
}

void plain_service::control(const json& change)
{
    for (const auto& [key, value] : change.items()) {
        if (key == "leaving") {
            leaving_ = value.get<bool>();
        }
        else if (key == "quiet_ms") {
            quiet_until_ = event_loop::now() + std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else if (key == "fail_after_run") {
            fail_after_run_ = value.get<std::uint64_t>();
        }
        else if (key == "stall_after_run") {
            stall_after_run_ = value.get<std::uint64_t>();
        }
        else if (key == "service_ms") {
            settings_.service_time = std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else {
            throw std::invalid_argument{"The service has no control named " + key + "."};
        }
    }
}

std::string plain_service::headers() const
{
    return leaving_ ? "X-Leaving: " + std::to_string(run_) + "\r\n" : std::string{};
}

} // namespace

int run_service(const listen_options& listen, const service_settings& settings)
{
    event_loop loop;
    plain_service service{loop, settings};
    server_hooks hooks;
    hooks.handle = [&](const auto& request, const auto& out) { service.handle(request, out); };
    hooks.control = [&](const json& change) { service.control(change); };
    hooks.state = [&] { return service.state(); };
    hooks.headers = [&] { return service.headers(); };
    return run_server(loop, listen, hooks);
}

} // namespace wagtailhitch::standins
