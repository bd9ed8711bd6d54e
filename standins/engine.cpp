#include "base/digest.hpp"
#include "engine_answer.hpp"
#include "engine_batch.hpp"
#include "standins.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

constexpr std::string_view generations_path = "/v1/generations/";
// Ended generations that can still be resumed.
constexpr std::size_t max_ended_generations = 2000;

struct load_report {
    std::size_t running{0};
    std::size_t waiting{0};
    time_point at;
};

/// Breaks or stalls the next streams once they have sent a number of tokens.
struct stream_fault {
    std::uint64_t after{0}; ///< tokens
    std::uint64_t count{0}; ///< streams still to be hit
};

class engine {
public:
    engine(event_loop& loop, engine_settings settings);

    void handle(const http_request& request, const exchange_ptr& out);
    void control(const json& change);
    [[nodiscard]] json state() const;
    [[nodiscard]] std::string headers() const;

private:
    void chat(const http_request& request, const exchange_ptr& out);
    void start(const std::string& id, const http_request& request, const json& body,
               const listener& to);
    void generations(const http_request& request, const exchange_ptr& out);
    void attach(const generation_ptr& to, listener added);
    void order(const json& body, const exchange_ptr& out);
    void apply_order(const std::string& action, const std::string& version);
    void set_versions(const json& versions);
    [[nodiscard]] json load() const;
    void sample_load();

    void send_tokens(const generation_ptr& from);
    bool apply_stream_fault(const generation_ptr& from, listener& to);
    void finish(const generation_ptr& ended);
    void remove_generation(const std::string& id);

    event_loop& loop_;
    engine_settings settings_;
    std::uint64_t run_;
    prefix_cache cache_;
    engine_batch batch_;
    std::set<std::string> loaded_;
    std::set<std::string> bad_versions_;
    std::map<std::string, generation_ptr> generations_;
    std::deque<generation_ptr> ended_generations_;
    load_report sampled_load_;
    bool leaving_{false};
    time_point quiet_until_{};
    std::uint64_t refused_while_quiet_{0};
    double bad_error_rate_{0};
    stream_fault break_fault_;
    bool break_loses_generation_{false};
    stream_fault stall_fault_;
    std::uint64_t highest_fencing_{0};
    json orders_ = json::array();
    std::uint64_t next_id_{0};
    std::uint64_t started_{0};
    std::uint64_t cancelled_{0};
    std::uint64_t resumed_{0};
    std::uint64_t cached_blocks_{0};
    std::map<std::string, std::uint64_t> started_by_version_;
};

std::uint64_t wall_clock_us()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(now / std::chrono::microseconds{1});
}

json chunk_event(const generation& from, std::uint64_t index)
{
    return {{"index", index}, {"content", from.tokens[index]}};
}

json finish_event(const generation& from)
{
    return {{"finish_reason", from.finish_reason},
            {"prompt_tokens", from.prompt_tokens},
            {"generated_tokens", from.generated},
            {"confidence", from.confidence}};
}

json whole_answer(const generation& from)
{
    std::string content;
    for (const std::string& it : from.tokens) {
        content += it;
    }
    return {
        {"id", from.id},
        {"model", from.version},
        {"content", content},
        {"finish_reason", from.finish_reason},
        {"confidence", from.confidence},
        {"usage", {{"prompt_tokens", from.prompt_tokens}, {"generated_tokens", from.generated}}}};
}

engine::engine(event_loop& loop, engine_settings settings)
    : loop_{loop}, settings_{std::move(settings)}, run_{wall_clock_us()},
      cache_{settings_.cache_blocks, settings_.cache_event_gap},
      batch_{loop,
             settings_,
             {[this](const generation_ptr& it) { send_tokens(it); },
              [this](const generation_ptr& it) { finish(it); }}},
      loaded_{settings_.versions.begin(), settings_.versions.end()}
{
    sample_load();
}

void engine::handle(const http_request& request, const exchange_ptr& out)
{
    const bool is_chat = request.path == "/v1/chat/completions" && request.method == "POST";
    if (is_chat && event_loop::now() < quiet_until_) {
        ++refused_while_quiet_;
        out->refuse(quiet_until_ - event_loop::now(), {{"error", "quiet"}});
    }
    else if (is_chat) {
        chat(request, out);
    }
    else if (request.path.starts_with(generations_path)) {
        generations(request, out);
    }
    else if (request.path == "/v1/load" || request.path == "/healthz") {
        out->reply(200, load());
    }
    else if (request.path == "/v1/cache-events") {
        const time_point until = event_loop::now() - settings_.cache_event_lag;
        out->reply(200, cache_.events_from(request.number("from", 0), until));
    }
    else if (request.path == "/v1/orders" && request.method == "POST") {
        order(json::parse(request.body), out);
    }
    else if (request.path == "/v1/orders") {
        out->reply(200, {{"orders", orders_}});
    }
    else {
        out->reply(404, {{"error", "unknown_path"}});
    }
}

void engine::chat(const http_request& request, const exchange_ptr& out)
{
    const json body = json::parse(request.body);
    const auto version = body.at("model").get<std::string>();
    if (!loaded_.contains(version)) {
        out->reply(409, {{"error", "version_not_loaded"}, {"version", version}});
        return;
    }
    std::string id = request.header("x-request-id");
    if (id.empty()) {
        id = settings_.name + "-" + std::to_string(next_id_++);
    }
    const listener to{out, body.value("stream", false), 0, false};
    const auto known = generations_.find(id);
    if (known != generations_.end()) {
        const generation_ptr earlier = known->second;
        if (!earlier->cancelled && earlier->body_digest == digest128_hex(request.body)) {
            attach(earlier, to);
            return;
        }
        batch_.cancel(earlier);
        remove_generation(id);
    }
    start(id, request, body, to);
}

void engine::start(const std::string& id, const http_request& request, const json& body,
                   const listener& to)
{
    if (batch_.full()) {
        to.out->reply(503, {{"error", "queue_full"}, {"retry_after_ms", 100}});
        return;
    }
    const auto version = body.at("model").get<std::string>();
    const bool bad = bad_versions_.contains(version);
    const std::string digest = digest128_hex(request.body);
    constexpr std::uint64_t rate_steps = 10000;
    if (bad && static_cast<double>(hash64(id) % rate_steps) < bad_error_rate_ * rate_steps) {
        to.out->reply(500, {{"error", "version_failed"}, {"version", version}});
        return;
    }
    engine_answer answer = make_answer(settings_, body, bad);
    const std::size_t cached = cache_.use(prefix_hashes(prompt_text(body)), event_loop::now());
    constexpr double tokens_per_block = prefix_block_bytes / 4.0;
    auto added = std::make_shared<generation>();
    added->id = id;
    added->version = version;
    added->body_digest = digest;
    const std::string priority = request.header("x-priority");
    added->priority = priority.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(priority));
    added->prompt_tokens = answer.prompt_tokens;
    added->prompt_tokens_left = std::max(0.0, static_cast<double>(answer.prompt_tokens) -
                                                  static_cast<double>(cached) * tokens_per_block);
    added->tokens = std::move(answer.tokens);
    added->finish_reason = answer.finish_reason;
    added->confidence = answer.confidence;
    ++started_;
    ++started_by_version_[version];
    cached_blocks_ += cached;
    generations_[id] = added;
    attach(added, to);
    batch_.submit(added);
}

void engine::generations(const http_request& request, const exchange_ptr& out)
{
    const std::string id = request.path.substr(generations_path.size());
    const auto it = generations_.find(id);
    if (it == generations_.end()) {
        out->reply(404, {{"error", "unknown_generation"}});
        return;
    }
    const generation_ptr found = it->second;
    if (request.method == "DELETE") {
        if (!found->ended()) {
            ++cancelled_;
            batch_.cancel(found);
        }
        out->reply(200, {{"cancelled", found->cancelled}, {"generated_tokens", found->generated}});
        return;
    }
    if (found->cancelled) {
        out->reply(409, {{"error", "generation_cancelled"}});
        return;
    }
    ++resumed_;
    attach(found, {out, true, request.number("from", 0), false});
}

void engine::attach(const generation_ptr& to, listener added)
{
    if (added.stream) {
        added.out->start_events();
    }
    to->listeners.push_back(std::move(added));
    send_tokens(to);
    if (to->ended()) {
        finish(to);
    }
}

void engine::send_tokens(const generation_ptr& from)
{
    for (listener& to : from->listeners) {
        while (to.stream && to.next < from->generated && !to.stalled) {
            if (apply_stream_fault(from, to)) {
                break;
            }
            to.out->event(chunk_event(*from, to.next).dump());
            ++to.next;
        }
    }
    std::erase_if(from->listeners, [](const listener& it) { return !it.out->open(); });
}

bool engine::apply_stream_fault(const generation_ptr& from, listener& to)
{
    if (break_fault_.count > 0 && to.next >= break_fault_.after) {
        --break_fault_.count;
        to.out->drop();
        if (break_loses_generation_) {
            // The batch is being iterated, so the generation is cancelled after this step.
            loop_.after(0s, [this, lost_generation = from] {
                batch_.cancel(lost_generation);
                remove_generation(lost_generation->id);
            });
        }
        return true;
    }
    if (stall_fault_.count > 0 && to.next >= stall_fault_.after) {
        --stall_fault_.count;
        to.stalled = true;
        return true;
    }
    return false;
}

void engine::finish(const generation_ptr& ended)
{
    const auto listeners = std::exchange(ended->listeners, {});
    for (const listener& to : listeners) {
        if (to.stalled) {
            ended->listeners.push_back(to);
        }
        else if (ended->cancelled) {
            to.out->drop();
        }
        else if (to.stream) {
            to.out->event(finish_event(*ended).dump());
            to.out->event("[DONE]");
            to.out->end();
        }
        else {
            to.out->reply(200, whole_answer(*ended));
        }
    }
    if (std::find(ended_generations_.begin(), ended_generations_.end(), ended) ==
        ended_generations_.end()) {
        ended_generations_.push_back(ended);
    }
    if (ended_generations_.size() > max_ended_generations) {
        const generation_ptr oldest = ended_generations_.front();
        ended_generations_.pop_front();
        remove_generation(oldest->id);
    }
}

void engine::remove_generation(const std::string& id)
{
    generations_.erase(id);
}

void engine::order(const json& body, const exchange_ptr& out)
{
    const auto action = body.at("action").get<std::string>();
    const auto fencing = body.value("fencing", std::uint64_t{0});
    const bool stale = settings_.check_fencing && fencing < highest_fencing_;
    json entry = body;
    entry["accepted"] = !stale;
    orders_.push_back(std::move(entry));
    if (stale) {
        out->reply(409, {{"error", "stale_fencing"}, {"highest", highest_fencing_}});
        return;
    }
    highest_fencing_ = std::max(highest_fencing_, fencing);
    apply_order(action, body.value("version", ""));
    out->reply(200, {{"order", body.value("order", std::uint64_t{0})}, {"accepted", true}});
}

void engine::apply_order(const std::string& action, const std::string& version)
{
    if (action == "load") {
        loop_.after(settings_.weights_time, [this, version] { loaded_.insert(version); });
    }
    else if (action == "withdraw") {
        loaded_.erase(version);
    }
    else if (action != "adapter" && action != "role") {
        throw std::invalid_argument{"The engine does not support the action " + action + "."};
    }
}

void engine::sample_load()
{
    sampled_load_ = {batch_.running(), batch_.waiting(), event_loop::now()};
    const auto period = std::max(settings_.load_lag, std::chrono::milliseconds{1});
    loop_.after(period, [this] { sample_load(); });
}

json engine::load() const
{
    const bool live = settings_.load_lag.count() == 0;
    return {{"run", run_},
            {"running", live ? batch_.running() : sampled_load_.running},
            {"waiting", live ? batch_.waiting() : sampled_load_.waiting},
            {"age_ms", live ? 0 : to_milliseconds(event_loop::now() - sampled_load_.at)},
            {"leaving", leaving_},
            {"loaded", loaded_}};
}

void engine::set_versions(const json& versions)
{
    loaded_ = versions.get<std::set<std::string>>();
}

void engine::control(const json& change)
{
    for (const auto& [key, value] : change.items()) {
        if (key == "leaving") {
            leaving_ = value.get<bool>();
        }
        else if (key == "quiet_ms") {
            quiet_until_ = event_loop::now() + std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else if (key == "slow_factor") {
            batch_.set_slow_factor(value.get<double>());
        }
        else if (key == "loaded") {
            set_versions(value);
        }
        else if (key == "bad_versions") {
            bad_versions_ = value.get<std::set<std::string>>();
        }
        else if (key == "bad_error_rate") {
            bad_error_rate_ = value.get<double>();
        }
        else if (key == "break_streams") {
            break_fault_ = {value.at("after").get<std::uint64_t>(), value.value("count", 1ULL)};
            break_loses_generation_ = value.value("lose_generation", false);
        }
        else if (key == "stall_streams") {
            stall_fault_ = {value.at("after").get<std::uint64_t>(), value.value("count", 1ULL)};
        }
        else if (key == "clear_cache") {
            cache_.clear(event_loop::now());
        }
        else {
            throw std::invalid_argument{"The engine has no control named " + key + "."};
        }
    }
}

json engine::state() const
{
    return {{"name", settings_.name},
            {"leaving", leaving_},
            {"refused_while_quiet", refused_while_quiet_},
            {"loaded", loaded_},
            {"bad_versions", bad_versions_},
            {"running", batch_.running()},
            {"waiting", batch_.waiting()},
            {"started", started_},
            {"started_by_version", started_by_version_},
            {"cancelled", cancelled_},
            {"resumed", resumed_},
            {"cached_blocks", cached_blocks_},
            {"highest_fencing", highest_fencing_}};
}

std::string engine::headers() const
{
    return leaving_ ? "X-Leaving: " + std::to_string(run_) + "\r\n" : std::string{};
}

} // namespace

int run_engine(const listen_options& listen, const engine_settings& settings)
{
    event_loop loop;
    engine service{loop, settings};
    server_hooks hooks;
    hooks.handle = [&](const auto& request, const auto& out) { service.handle(request, out); };
    hooks.control = [&](const json& change) { service.control(change); };
    hooks.state = [&] { return service.state(); };
    hooks.headers = [&] { return service.headers(); };
    return run_server(loop, listen, hooks);
}

} // namespace wagtailhitch::standins
