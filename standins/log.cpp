#include "standins.hpp"

#include <algorithm>
#include <deque>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

constexpr std::string_view path_prefix = "/v1/streams/";
constexpr std::string_view path_suffix = "/records";
constexpr std::size_t max_record_bytes = 65'536;
constexpr std::size_t max_batch_records = 1000;
// A reply stays below the router's 1 MiB body bound even when every byte is escaped once.
constexpr std::size_t max_reply_bytes = 409'600;
constexpr std::chrono::milliseconds max_wait{30'000};

struct stored_record {
    std::string data;
    time_point stored_at;
};

struct stream_state {
    std::uint64_t oldest{0};
    std::deque<stored_record> records;
    std::uint64_t next_waiter{0};
    std::map<std::uint64_t, std::function<void()>> waiters;

    [[nodiscard]] std::uint64_t head() const { return oldest + records.size(); }
};

class log_service {
public:
    log_service(event_loop& loop, log_settings settings)
        : loop_{loop}, settings_{settings}, window_start_{event_loop::now()}
    {
    }

    void handle(const http_request& request, const exchange_ptr& out);
    void control(const json& change);
    [[nodiscard]] json state() const;

private:
    void append(const http_request& request, stream_state& stream, const exchange_ptr& out);
    void read(const http_request& request, stream_state& stream, const exchange_ptr& out);
    void expire(stream_state& stream) const;
    bool admit_append();
    static json page(const stream_state& stream, std::uint64_t from, std::uint64_t limit);
    static void answer_waiters(stream_state& stream);

    event_loop& loop_;
    log_settings settings_;
    std::map<std::string, stream_state> streams_;
    bool outage_{false};
    std::uint64_t lose_append_replies_{0};
    std::uint64_t appends_{0};
    std::uint64_t reads_{0};
    std::uint64_t rate_limited_{0};
    time_point window_start_;
    std::uint64_t window_appends_{0};
};

void log_service::handle(const http_request& request, const exchange_ptr& out)
{
    if (outage_) {
        out->reply(503, {{"error", "log_unavailable"}});
        return;
    }
    const std::string& path = request.path;
    const bool matches = path.starts_with(path_prefix) && path.ends_with(path_suffix) &&
                         path.size() > path_prefix.size() + path_suffix.size();
    if (!matches) {
        out->reply(404, {{"error", "unknown_path"}});
        return;
    }
    const std::string name =
        path.substr(path_prefix.size(), path.size() - path_prefix.size() - path_suffix.size());
    stream_state& stream = streams_[name];
    expire(stream);
    if (request.method == "POST") {
        append(request, stream, out);
    }
    else {
        read(request, stream, out);
    }
}

bool log_service::admit_append()
{
    const time_point now = event_loop::now();
    if (now - window_start_ >= 1s) {
        window_start_ = now;
        window_appends_ = 0;
    }
    if (window_appends_ >= settings_.appends_per_second) {
        ++rate_limited_;
        return false;
    }
    ++window_appends_;
    return true;
}

void log_service::append(const http_request& request, stream_state& stream, const exchange_ptr& out)
{
    const json body = json::parse(request.body);
    const auto records = body.at("records").get<std::vector<std::string>>();
    for (const std::string& it : records) {
        if (it.size() > max_record_bytes) {
            out->reply(413, {{"error", "record_too_large"}});
            return;
        }
    }
    if (!admit_append()) {
        out->reply(429, {{"error", "rate_limited"}, {"retry_after_ms", 1000}});
        return;
    }
    ++appends_;
    const std::uint64_t first = stream.head();
    for (const std::string& it : records) {
        stream.records.push_back({it, event_loop::now()});
    }
    expire(stream);
    if (lose_append_replies_ > 0) {
        --lose_append_replies_;
        out->drop();
    }
    else {
        out->reply(200, {{"first_offset", first}});
    }
    answer_waiters(stream);
}

void log_service::read(const http_request& request, stream_state& stream, const exchange_ptr& out)
{
    ++reads_;
    const std::uint64_t from = request.number("from", 0);
    const std::uint64_t limit =
        std::min<std::uint64_t>(request.number("limit", max_batch_records), max_batch_records);
    const std::chrono::milliseconds wait =
        std::min(max_wait, std::chrono::milliseconds{request.number("wait_ms", 0)});
    if (from < stream.head() || wait.count() == 0) {
        out->reply(200, page(stream, from, limit));
        return;
    }
    const std::uint64_t waiter = stream.next_waiter++;
    stream.waiters[waiter] = [&stream, from, limit, out] {
        out->reply(200, page(stream, from, limit));
    };
    loop_.after(wait, [this, &stream, waiter] {
        const auto it = stream.waiters.find(waiter);
        if (it == stream.waiters.end()) {
            return;
        }
        const auto answer = std::move(it->second);
        stream.waiters.erase(it);
        expire(stream);
        answer();
    });
}

json log_service::page(const stream_state& stream, std::uint64_t from, std::uint64_t limit)
{
    json records = json::array();
    std::size_t bytes = 0;
    std::uint64_t offset = std::max(from, stream.oldest);
    while (offset < stream.head() && records.size() < limit) {
        const std::string& data = stream.records[offset - stream.oldest].data;
        if (!records.empty() && bytes + data.size() > max_reply_bytes) {
            break;
        }
        bytes += data.size();
        records.push_back({{"offset", offset}, {"data", data}});
        ++offset;
    }
    return {{"oldest", stream.oldest}, {"head", stream.head()}, {"records", std::move(records)}};
}

void log_service::answer_waiters(stream_state& stream)
{
    auto waiters = std::exchange(stream.waiters, {});
    for (auto& [id, answer] : waiters) {
        answer();
    }
}

void log_service::expire(stream_state& stream) const
{
    const time_point limit = event_loop::now() - settings_.retain_time;
    while (!stream.records.empty() && (stream.records.size() > settings_.retain_records ||
                                       stream.records.front().stored_at < limit)) {
        stream.records.pop_front();
        ++stream.oldest;
    }
}

void log_service::control(const json& change)
{
    for (const auto& [key, value] : change.items()) {
        if (key == "outage") {
            outage_ = value.get<bool>();
        }
        else if (key == "lose_append_replies") {
            lose_append_replies_ = value.get<std::uint64_t>();
        }
        else if (key == "retain_records") {
            settings_.retain_records = value.get<std::uint64_t>();
        }
        else if (key == "retain_ms") {
            settings_.retain_time = std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else if (key == "appends_per_second") {
            settings_.appends_per_second = value.get<std::uint64_t>();
        }
        else {
            throw std::invalid_argument{"The log has no control named " + key + "."};
        }
    }
}

json log_service::state() const
{
    json streams = json::object();
    for (const auto& [name, stream] : streams_) {
        streams[name] = {
            {"oldest", stream.oldest}, {"head", stream.head()}, {"waiting", stream.waiters.size()}};
    }
    return {{"outage", outage_},        {"lose_append_replies", lose_append_replies_},
            {"appends", appends_},      {"reads", reads_},
            {"limited", rate_limited_}, {"streams", std::move(streams)}};
}

} // namespace

int run_log(const listen_options& listen, const log_settings& settings)
{
    event_loop loop;
    log_service service{loop, settings};
    server_hooks hooks;
    hooks.handle = [&](const auto& request, const auto& out) { service.handle(request, out); };
    hooks.control = [&](const json& change) { service.control(change); };
    hooks.state = [&] { return service.state(); };
    return run_server(loop, listen, hooks);
}

} // namespace wagtailhitch::standins
