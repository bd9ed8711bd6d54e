#include "base/digest.hpp"
#include "standins.hpp"

#include <deque>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

constexpr std::string_view path_prefix = "/v1/weights/";

/// Serves one fetch at a time and refuses when too many wait.
class weight_store {
public:
    weight_store(event_loop& loop, weights_settings settings) : loop_{loop}, settings_{settings} {}

    void handle(const http_request& request, const exchange_ptr& out)
    {
        if (!request.path.starts_with(path_prefix)) {
            out->reply(404, {{"error", "unknown_path"}});
            return;
        }
        if (waiting_.size() >= settings_.max_waiting) {
            ++rate_limited_;
            out->reply(
                429, {{"error", "rate_limited"}, {"retry_after_ms", settings_.fetch_time.count()}});
            return;
        }
        waiting_.push_back({request.path.substr(path_prefix.size()), out});
        if (!busy_) {
            serve_next();
        }
    }

    void control(const json& change)
    {
        for (const auto& [key, value] : change.items()) {
            if (key == "fetch_ms") {
                settings_.fetch_time = std::chrono::milliseconds{value.get<std::int64_t>()};
            }
            else if (key == "max_waiting") {
                settings_.max_waiting = value.get<std::uint64_t>();
            }
            else {
                throw std::invalid_argument{"The weight store has no control named " + key + "."};
            }
        }
    }

    [[nodiscard]] json state() const
    {
        return {{"fetched", fetched_}, {"limited", rate_limited_}, {"waiting", waiting_.size()}};
    }

private:
    struct fetch {
        std::string version;
        exchange_ptr out;
    };

    void serve_next()
    {
        if (waiting_.empty()) {
            busy_ = false;
            return;
        }
        busy_ = true;
        loop_.after(settings_.fetch_time, [this, it = std::move(waiting_.front())] {
            ++fetched_;
            it.out->reply(200, {{"version", it.version}, {"digest", digest128_hex(it.version)}});
            serve_next();
        });
        waiting_.pop_front();
    }

    event_loop& loop_;
    weights_settings settings_;
    std::deque<fetch> waiting_;
    bool busy_{false};
    std::uint64_t fetched_{0};
    std::uint64_t rate_limited_{0};
};

} // namespace

int run_weights(const listen_options& listen, const weights_settings& settings)
{
    event_loop loop;
    weight_store service{loop, settings};
    server_hooks hooks;
    hooks.handle = [&](const auto& request, const auto& out) { service.handle(request, out); };
    hooks.control = [&](const json& change) { service.control(change); };
    hooks.state = [&] { return service.state(); };
    return run_server(loop, listen, hooks);
}

} // namespace wagtailhitch::standins
