#include "quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace wagtailhitch {

namespace {

constexpr std::uint32_t max_doublings = 16;
/// Below this a decayed count has no effect.
constexpr double negligible_survivals = 0.01;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double prompt_quarantine::survivals(part_key part, time_point now) const
{
    const auto it = survivals_.find(part);
    if (it == survivals_.end()) {
        return 0;
    }
    const double age = seconds(now - it->second.updated_at);
    return it->second.value * std::exp(-age / seconds(settings_.survival_time_constant));
}

void prompt_quarantine::note_survived(std::span<const part_key> parts, time_point now)
{
    for (const part_key part : parts) {
        if (const auto it = quarantined_.find(part);
            it != quarantined_.end() && now >= it->second.until) {
            changes_.push_back({{part, duration{0}, it->second.times}, true, 0});
            quarantined_.erase(it);
        }
        const double known = survivals(part, now);
        if (known > 0 || survivals_.size() < settings_.tracked_parts) {
            survivals_[part] = {known + 1, now};
        }
    }
}

void prompt_quarantine::note_lost(std::span<const part_key> parts, replica_run run, time_point now)
{
    note_down(run, now);
    blame(parts, run, now);
}

void prompt_quarantine::note_dropped(std::span<const part_key> parts, replica_run run,
                                     time_point now)
{
    if (!parts.empty()) {
        dropped_[run].push_back({{parts.begin(), parts.end()}, now});
    }
}

void prompt_quarantine::note_down(replica_run run, time_point now)
{
    const auto it = dropped_.find(run);
    if (it == dropped_.end()) {
        return;
    }
    for (const auto& answer : it->second) {
        if (now - answer.at <= settings_.drop_window) {
            blame(answer.parts, run, now);
        }
    }
    dropped_.erase(it);
}

void prompt_quarantine::blame(std::span<const part_key> parts, replica_run run, time_point now)
{
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const part_key part = parts[i];
        suspects_[part].crashes.emplace(run, now);
        suspects_[part].depth = std::max(suspects_[part].depth, static_cast<std::uint32_t>(i));
        const auto known = quarantined_.find(part);
        if (known != quarantined_.end() && now >= known->second.until) {
            impose(part, known->second.times + 1, 1, now);
        }
    }
}

void prompt_quarantine::take(const std::string& source, std::vector<part_evidence> evidence,
                             time_point now)
{
    if (evidence.empty()) {
        reported_.erase(source);
        return;
    }
    for (const auto& item : evidence) {
        for (const replica_run run : item.crashes) {
            note_down(run, now);
        }
    }
    reported_[source] = {std::move(evidence), now};
}

void prompt_quarantine::adopt(const quarantined_part& imposed, time_point now)
{
    const time_point until = now + std::min(imposed.remaining, settings_.longest_quarantine);
    const auto known = quarantined_.find(imposed.part);
    if (imposed.remaining <= duration{0} ||
        (known != quarantined_.end() && imposed.times <= known->second.times)) {
        return;
    }
    quarantined_[imposed.part] = {until, imposed.times, {}};
    last_imposed_at_ = now;
    changes_.push_back({{imposed.part, until - now, imposed.times}, false, 0});
}

void prompt_quarantine::impose(part_key part, std::uint32_t times, std::size_t crashes,
                               time_point now)
{
    const std::uint32_t doublings = std::min(times - 1, max_doublings);
    const duration doubled = settings_.first_quarantine * (1LL << doublings);
    const duration length = std::min(doubled, settings_.longest_quarantine);
    quarantined_[part] = {now + length, times, {}};
    last_imposed_at_ = now;
    changes_.push_back({{part, length, times}, false, crashes});
}

void prompt_quarantine::add(const part_evidence& item, std::map<part_key, pooled_evidence>& out)
{
    pooled_evidence& sum = out[item.part];
    sum.depth = std::max(sum.depth, item.depth);
    sum.survivals += item.survivals;
    sum.crashes.insert(item.crashes.begin(), item.crashes.end());
}

void prompt_quarantine::add_suspects(std::map<part_key, pooled_evidence>& out) const
{
    for (const auto& [part, suspect] : suspects_) {
        pooled_evidence& sum = out[part];
        sum.depth = std::max(sum.depth, suspect.depth);
        for (const auto& [run, at] : suspect.crashes) {
            sum.crashes.insert(run);
        }
    }
}

std::vector<part_evidence> prompt_quarantine::evidence(std::span<const std::string> sources,
                                                       time_point now) const
{
    std::map<part_key, pooled_evidence> found;
    add_suspects(found);
    for (const auto& source : sources) {
        if (const auto it = reported_.find(source); it != reported_.end()) {
            for (const auto& item : it->second.parts) {
                add(item, found);
            }
        }
    }
    // Answers that went on count for the suspects of all VMs, so that each VM can weigh them.
    for (const auto& [source, reported] : reported_) {
        for (const auto& item : reported.parts) {
            if (!item.crashes.empty()) {
                found.try_emplace(item.part);
            }
        }
    }
    std::vector<part_evidence> out;
    for (const auto& [part, item] : found) {
        const double survived = item.survivals + survivals(part, now);
        if (!item.crashes.empty() || survived > negligible_survivals) {
            out.push_back({part, item.depth, survived, {item.crashes.begin(), item.crashes.end()}});
        }
    }
    const std::size_t n = std::min(out.size(), settings_.reported_parts);
    std::ranges::partial_sort(out, out.begin() + static_cast<std::ptrdiff_t>(n), std::greater{},
                              [](const part_evidence& it) { return it.crashes.size(); });
    out.resize(n);
    for (auto& item : out) {
        item.crashes.resize(std::min(item.crashes.size(), settings_.reported_crashes));
    }
    return out;
}

std::vector<quarantined_part> prompt_quarantine::quarantined(time_point now) const
{
    std::vector<quarantined_part> out;
    for (const auto& [part, item] : quarantined_) {
        out.push_back({part, item.until - now, item.times});
    }
    return out;
}

std::map<part_key, prompt_quarantine::pooled_evidence> prompt_quarantine::pool(time_point now) const
{
    std::map<part_key, pooled_evidence> out;
    for (const auto& [source, reported] : reported_) {
        for (const auto& item : reported.parts) {
            add(item, out);
        }
    }
    add_suspects(out);
    for (auto& [part, item] : out) {
        item.survivals += survivals(part, now);
    }
    return out;
}

void prompt_quarantine::remove_explained(std::map<part_key, pooled_evidence>& pooled,
                                         time_point now)
{
    const bool all_explained =
        !quarantined_.empty() && now - last_imposed_at_ < settings_.explained_time;
    for (const auto& [part, item] : pooled) {
        if (all_explained || quarantined_.contains(part)) {
            for (const replica_run run : item.crashes) {
                explained_[run] = now;
            }
        }
    }
    // Runs lost on a part although the quarantine is in force refute that it explained the others.
    constexpr std::ptrdiff_t refuting_crashes = 2;
    const auto is_explained = [this](replica_run run) { return explained_.contains(run); };
    for (auto& [part, item] : pooled) {
        const auto n = std::ranges::count_if(item.crashes, std::not_fn(is_explained));
        if (n < refuting_crashes) {
            std::erase_if(item.crashes, is_explained);
        }
    }
    std::erase_if(pooled, [this](const auto& item) { return quarantined_.contains(item.first); });
}

bool prompt_quarantine::is_suspect(const pooled_evidence& item) const
{
    return static_cast<double>(item.crashes.size()) >=
           static_cast<double>(settings_.min_crashes) +
               settings_.crashes_per_survival * item.survivals;
}

void prompt_quarantine::keep_best_explanations(std::map<part_key, pooled_evidence>& suspects)
{
    const auto rank = [](const pooled_evidence& it) {
        return std::pair{it.crashes.size(), it.depth};
    };
    std::pair<std::size_t, std::uint32_t> best;
    for (const auto& [part, item] : suspects) {
        best = std::max(best, rank(item));
    }
    std::erase_if(suspects, [&](const auto& item) { return rank(item.second) < best; });
}

// The part that crashes replicas occurs in every lost run, others only by chance or because they
// come with it. The part with the most lost runs is therefore taken first, and its runs no longer
// count against others.
void prompt_quarantine::evaluate(time_point now)
{
    forget(now);
    if (suspects_.empty() && reported_.empty()) {
        return;
    }
    std::map<part_key, pooled_evidence> pooled = pool(now);
    remove_explained(pooled, now);
    const std::map<part_key, pooled_evidence> all = pooled;
    std::erase_if(pooled, [this](const auto& item) { return !is_suspect(item.second); });
    std::erase_if(suspected_since_, [&](const auto& item) { return !pooled.contains(item.first); });
    for (const auto& [part, item] : pooled) {
        suspected_since_.try_emplace(part, now);
    }
    keep_best_explanations(pooled);
    // A part that was lost nearly as often, in runs that the best explanation leaves open, may be
    // the cause as well.
    const auto leaves_open = [&](const pooled_evidence& best, const pooled_evidence& other) {
        return static_cast<double>(other.crashes.size() + 1) >=
                   static_cast<double>(settings_.min_crashes) +
                       settings_.crashes_per_survival * other.survivals &&
               !std::ranges::includes(best.crashes, other.crashes);
    };
    for (const auto& [part, item] : pooled) {
        const bool settled = now - suspected_since_.at(part) >= settings_.settling_time;
        const bool unambiguous =
            pooled.size() == 1 && std::ranges::none_of(all, [&, &best = item](const auto& other) {
                return leaves_open(best, other.second);
            });
        if (settled && (unambiguous || item.crashes.size() >= settings_.ambiguous_crashes)) {
            suspected_since_.erase(part);
            impose(part, 1, item.crashes.size(), now);
        }
    }
}

void prompt_quarantine::forget(time_point now)
{
    const auto outdated = [&](time_point at) { return now - at > settings_.crash_memory; };
    for (auto& [part, item] : suspects_) {
        std::erase_if(item.crashes, [&](const auto& crash) { return outdated(crash.second); });
    }
    std::erase_if(suspects_, [](const auto& item) { return item.second.crashes.empty(); });
    std::erase_if(explained_, [&](const auto& item) { return outdated(item.second); });
    std::erase_if(reported_, [&](const auto& item) { return outdated(item.second.at); });
    for (auto& [run, answers] : dropped_) {
        std::erase_if(
            answers, [&](const dropped_answer& it) { return now - it.at > settings_.drop_window; });
    }
    std::erase_if(dropped_, [](const auto& item) { return item.second.empty(); });
    std::erase_if(quarantined_, [&](const auto& item) {
        return now - item.second.until > settings_.longest_quarantine;
    });
    if (survivals_.size() >= settings_.tracked_parts) {
        std::erase_if(survivals_, [&](const auto& item) {
            return survivals(item.first, now) < negligible_survivals;
        });
    }
}

std::size_t prompt_quarantine::dropped_answers() const
{
    std::size_t n = 0;
    for (const auto& [run, answers] : dropped_) {
        n += answers.size();
    }
    return n;
}

std::vector<quarantine_change> prompt_quarantine::take_changes()
{
    return std::exchange(changes_, {});
}

std::optional<quarantine_hold> prompt_quarantine::find(std::span<const part_key> parts,
                                                       time_point now) const
{
    std::optional<quarantine_hold> out;
    for (const part_key part : parts) {
        const auto it = quarantined_.find(part);
        if (it == quarantined_.end()) {
            continue;
        }
        const bool probing = it->second.probe_sent != time_point{} &&
                             now - it->second.probe_sent < settings_.probe_timeout;
        const time_point until =
            probing ? it->second.probe_sent + settings_.probe_timeout : it->second.until;
        if (now < until && (!out || until - now > out->remaining)) {
            out = {part, until - now};
        }
    }
    return out;
}

bool prompt_quarantine::note_sent(std::span<const part_key> parts, time_point now)
{
    bool tests = false;
    for (const part_key part : parts) {
        if (const auto it = quarantined_.find(part); it != quarantined_.end()) {
            it->second.probe_sent = now;
            tests = true;
        }
    }
    return tests;
}

} // namespace wagtailhitch
