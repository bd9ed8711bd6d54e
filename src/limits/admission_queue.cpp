#include "limits/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace wagtailhitch {

namespace {

// Bounds of the observed ratio, so that a single outlier cannot make the queue refuse or admit
// everything.
constexpr double min_correction = 0.1;
constexpr double max_correction = 10;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    constexpr double max_seconds = 1e6;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(value, max_seconds)));
}

} // namespace

admission_queue::admission_queue(queue_settings settings) : settings_{settings} {}

void admission_queue::set_weight(const team_id& team, double weight)
{
    weights_[team] = weight;
}

expected<void> admission_queue::offer(queue_entry entry, time_point now)
{
    const duration wait = expected_wait(entry.team, entry.kind);
    const auto refuse = [&](error_code code, const char* detail, duration after) {
        return tl::unexpected(
            error{code, step::admit, entry.team.value, run_state::not_run, detail,
                  std::clamp(after, settings_.min_retry_after, settings_.max_retry_after)});
    };
    if (full(entry)) {
        return refuse(error_code::queue_full, "The queue for the model's upstreams is full.", wait);
    }
    const double left = seconds(entry.deadline - now) * settings_.deadline_fraction;
    // The margin uses only a part of the spare time: a queue that refuses every request that has to
    // wait runs empty between two arrivals.
    const double spare = std::max(0.0, left - seconds(expected_service_time(entry)));
    const double margin =
        wait > duration{0} ? std::min(service_margin(entry), spare * settings_.max_margin_fraction)
                           : 0;
    const double late = seconds(wait + expected_service_time(entry)) + margin - left;
    if (late > 0) {
        return refuse(error_code::deadline_unreachable,
                      "The expected wait and service time exceed the deadline.",
                      from_seconds(late));
    }
    class_queue& queue = class_queue_of(entry.kind);
    team_queue& team = queue.teams[entry.team];
    tagged_entry item;
    item.cost = seconds(expected_service_time(entry));
    item.start = std::max(queue.virtual_time, team.last_finish);
    team.last_finish = item.start + item.cost / weight_of(entry.team);
    team.queued_cost += item.cost;
    queue.queued_cost += item.cost;
    entry.offered_at = now;
    item.entry = std::move(entry);
    team.waiting.push_back(std::move(item));
    ++queue.waiting;
    ++waiting_;
    return {};
}

std::optional<queue_entry> admission_queue::next(time_point now)
{
    if (dispatched_ >= settings_.concurrency || waiting_ == 0) {
        return std::nullopt;
    }
    class_queue& brief = class_queue_of(request_class::short_request);
    class_queue& lengthy = class_queue_of(request_class::long_request);
    const bool long_first_now = is_long_class_turn();
    auto entry = take(long_first_now ? lengthy : brief, now);
    if (!entry) {
        entry = take(long_first_now ? brief : lengthy, now);
    }
    if (entry) {
        ++dispatched_;
        dispatched_cost_ += seconds(stated_service_time(*entry));
        ++dispatch_count_;
    }
    return entry;
}

std::vector<queue_entry> admission_queue::expire(time_point now)
{
    std::vector<queue_entry> expired;
    for (class_queue& queue : classes_) {
        for (auto& [id, team] : queue.teams) {
            for (std::size_t i = team.waiting.size(); i-- > 0;) {
                if (misses_deadline(team.waiting[i], now)) {
                    expired.push_back(std::move(team.waiting[i].entry));
                    erase(queue, team, i);
                }
            }
        }
        std::erase_if(queue.teams, [&](const auto& item) {
            return item.second.waiting.empty() && item.second.last_finish <= queue.virtual_time;
        });
    }
    return expired;
}

bool admission_queue::remove(std::uint64_t token)
{
    for (class_queue& queue : classes_) {
        for (auto& [id, team] : queue.teams) {
            const auto it = std::ranges::find_if(
                team.waiting, [&](const tagged_entry& item) { return item.entry.token == token; });
            if (it != team.waiting.end()) {
                erase(queue, team, static_cast<std::size_t>(it - team.waiting.begin()));
                return true;
            }
        }
    }
    return false;
}

void admission_queue::finished(const queue_entry& entry, duration service)
{
    const duration expected = stated_service_time(entry);
    dispatched_ -= dispatched_ > 0 ? 1 : 0;
    dispatched_cost_ = dispatched_ == 0 ? 0 : dispatched_cost_ - seconds(expected);
    class_queue& queue = class_queue_of(entry.kind);
    const double ratio = std::clamp(seconds(service) / std::max(seconds(expected), 1e-3),
                                    min_correction, max_correction);
    const double error = ratio - queue.correction;
    queue.correction += error * settings_.smoothing;
    queue.variance += (error * error - queue.variance) * settings_.smoothing;
}

duration admission_queue::expected_wait(const team_id& team, request_class kind) const
{
    if (dispatched_ < settings_.concurrency && waiting_ == 0) {
        return duration{0};
    }
    // The next slot becomes free after a fraction of a running request's service time.
    const double running = dispatched_ > 0 ? dispatched_cost_ / dispatched_ : 0;
    const double slot_count = std::max(1U, settings_.concurrency);
    return from_seconds((cost_ahead(team, kind) + running) / slot_count);
}

duration admission_queue::expected_service_time(const queue_entry& entry) const
{
    return from_seconds(seconds(stated_service_time(entry)) *
                        class_queue_of(entry.kind).correction);
}

duration admission_queue::stated_service_time(const queue_entry& entry) const
{
    return entry.expected_service > duration{0} ? entry.expected_service
                                                : settings_.default_service_time;
}

bool admission_queue::full(const queue_entry& entry) const
{
    const auto part = [&](double share) {
        return static_cast<std::size_t>(std::max(1.0, settings_.capacity * share));
    };
    const bool class_full =
        entry.kind == request_class::long_request &&
        class_queue_of(entry.kind).waiting >= part(settings_.long_capacity_share);
    return class_full || waiting_ >= settings_.capacity ||
           waiting_count(entry.team) >= part(settings_.team_capacity_share);
}

// Returns the seconds reserved in case the service takes longer than expected.
double admission_queue::service_margin(const queue_entry& entry) const
{
    const double deviation = std::sqrt(class_queue_of(entry.kind).variance);
    return seconds(stated_service_time(entry)) * deviation * settings_.margin_deviations;
}

double admission_queue::weight_of(const team_id& team) const
{
    constexpr double min_weight = 1e-3;
    const auto it = weights_.find(team);
    return it == weights_.end() ? 1 : std::max(it->second, min_weight);
}

admission_queue::class_queue& admission_queue::class_queue_of(request_class kind)
{
    return classes_[static_cast<std::size_t>(kind)];
}

const admission_queue::class_queue& admission_queue::class_queue_of(request_class kind) const
{
    return classes_[static_cast<std::size_t>(kind)];
}

std::size_t admission_queue::waiting_count(const team_id& team) const
{
    std::size_t sum = 0;
    for (const class_queue& queue : classes_) {
        const auto it = queue.teams.find(team);
        sum += it == queue.teams.end() ? 0 : it->second.waiting.size();
    }
    return sum;
}

// Returns the seconds of service scheduled before a request that is offered now: all queued service
// of the same team, and for each other team the service that fair queueing allots to it until the
// virtual time reaches the start of the request.
double admission_queue::cost_ahead(const team_id& team, request_class kind) const
{
    const class_queue& queue = class_queue_of(kind);
    const auto own = queue.teams.find(team);
    const double start = own == queue.teams.end()
                             ? queue.virtual_time
                             : std::max(queue.virtual_time, own->second.last_finish);
    double cost_sum = 0;
    for (const auto& [id, other] : queue.teams) {
        const double fair_share = (start - queue.virtual_time) * weight_of(id);
        cost_sum += id == team ? other.queued_cost : std::min(other.queued_cost, fair_share);
    }
    const double interval = settings_.long_class_interval;
    if (kind == request_class::long_request) {
        return cost_sum + class_queue_of(request_class::short_request).queued_cost;
    }
    const bool contended = class_queue_of(request_class::long_request).waiting > 0 && interval > 1;
    return contended ? cost_sum * interval / (interval - 1) : cost_sum;
}

bool admission_queue::misses_deadline(const tagged_entry& item, time_point now) const
{
    return now + expected_service_time(item.entry) > item.entry.deadline;
}

bool admission_queue::is_long_class_turn() const
{
    return settings_.long_class_interval > 0 &&
           dispatch_count_ % settings_.long_class_interval == settings_.long_class_interval - 1;
}

// Skips requests that cannot meet their deadlines; expire() returns them to the caller.
std::optional<queue_entry> admission_queue::take(class_queue& queue, time_point now)
{
    team_queue* first = nullptr;
    std::size_t position = 0;
    for (auto& [id, team] : queue.teams) {
        const auto it = std::ranges::find_if(
            team.waiting, [&](const tagged_entry& item) { return !misses_deadline(item, now); });
        if (it == team.waiting.end()) {
            continue;
        }
        if (!first || it->start < first->waiting[position].start) {
            first = &team;
            position = static_cast<std::size_t>(it - team.waiting.begin());
        }
    }
    if (!first) {
        return std::nullopt;
    }
    queue.virtual_time = std::max(queue.virtual_time, first->waiting[position].start);
    queue_entry entry = std::move(first->waiting[position].entry);
    erase(queue, *first, position);
    return entry;
}

void admission_queue::erase(class_queue& queue, team_queue& team, std::size_t position)
{
    const double cost = team.waiting[position].cost;
    team.waiting.erase(team.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    team.queued_cost = team.waiting.empty() ? 0 : team.queued_cost - cost;
    --queue.waiting;
    queue.queued_cost = queue.waiting == 0 ? 0 : queue.queued_cost - cost;
    --waiting_;
}

} // namespace wagtailhitch
