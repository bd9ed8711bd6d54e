#include "base/digest.hpp"
#include "standins.hpp"

#include <algorithm>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

constexpr double default_score = 0.9;
constexpr double score_spread = 0.1;
constexpr std::uint64_t max_page = 1000;

/// A number in [0, 1) that depends only on the text.
double hash_fraction(const std::string& text)
{
    return static_cast<double>(hash64(text) >> 11) / 9007199254740992.0; // 2^53
}

/// Rates submitted answers; the score depends only on the version's mean and the request's id.
class ratings_service {
public:
    ratings_service(event_loop& loop, ratings_settings settings)
        : loop_{loop}, settings_{std::move(settings)}
    {
    }

    void handle(const http_request& request, const exchange_ptr& out);
    void control(const json& change);
    [[nodiscard]] json state() const
    {
        return {{"submitted", submitted_}, {"published", items_.size()}};
    }

private:
    void submit(const json& answer);
    [[nodiscard]] json page(std::uint64_t from, std::uint64_t limit) const;

    event_loop& loop_;
    ratings_settings settings_;
    std::vector<json> items_;
    std::uint64_t submitted_{0};
};

void ratings_service::handle(const http_request& request, const exchange_ptr& out)
{
    if (request.path == "/v1/answers" && request.method == "POST") {
        submit(json::parse(request.body));
        out->reply(200, {{"accepted", true}});
        return;
    }
    if (request.path == "/v1/ratings") {
        out->reply(200, page(request.number("from", 0), request.number("limit", max_page)));
        return;
    }
    out->reply(404, {{"error", "unknown_path"}});
}

void ratings_service::submit(const json& answer)
{
    ++submitted_;
    const auto version = answer.at("version").get<std::string>();
    const auto request = answer.at("request").get<std::string>();
    const auto it = settings_.scores.find(version);
    const double mean = it == settings_.scores.end() ? default_score : it->second;
    const double spread = (hash_fraction(request) - 0.5) * 2 * score_spread;
    json item{{"request", request},
              {"version", version},
              {"route", answer.value("route", "")},
              {"score", std::clamp(mean + spread, 0.0, 1.0)}};
    loop_.after(settings_.lag,
                [this, item = std::move(item)]() mutable { items_.push_back(std::move(item)); });
}

json ratings_service::page(std::uint64_t from, std::uint64_t limit) const
{
    const std::uint64_t end =
        std::min<std::uint64_t>(items_.size(), from + std::min(limit, max_page));
    json items = json::array();
    for (std::uint64_t i = from; i < end; ++i) {
        items.push_back(items_[i]);
    }
    return {{"next", std::max(from, end)}, {"items", std::move(items)}};
}

void ratings_service::control(const json& change)
{
    for (const auto& [key, value] : change.items()) {
        if (key == "scores") {
            settings_.scores = value.get<std::map<std::string, double>>();
        }
        else if (key == "lag_ms") {
            settings_.lag = std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else {
            throw std::invalid_argument{"The rating service has no control named " + key + "."};
        }
    }
}

} // namespace

int run_ratings(const listen_options& listen, const ratings_settings& settings)
{
    event_loop loop;
    ratings_service service{loop, settings};
    server_hooks hooks;
    hooks.handle = [&](const auto& request, const auto& out) { service.handle(request, out); };
    hooks.control = [&](const json& change) { service.control(change); };
    hooks.state = [&] { return service.state(); };
    return run_server(loop, listen, hooks);
}

} // namespace wagtailhitch::standins
