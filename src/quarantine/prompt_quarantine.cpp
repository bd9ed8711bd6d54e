#include "quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace wagtailhitch {

namespace {

constexpr std::uint32_t max_doublings = 16;
/// A loss may be noticed this much earlier than the answer that the VM dropped before it.
constexpr duration loss_noticed_early = 200ms;
/// Runs lost on a part although the quarantine of another is in force, which refute that it
/// explained the earlier ones.
constexpr std::ptrdiff_t refuting_crashes = 2;
/// Weight of an explained run once the explanation is refuted.
constexpr double explained_weight = 0.5;

} // namespace

std::optional<time_point> prompt_quarantine::survived_at(part_key part) const
{
    const auto it = survivals_.find(part);
    return it == survivals_.end() ? std::nullopt : std::optional{it->second};
}

void prompt_quarantine::note_survived(std::span<const part_key> parts, time_point now)
{
    for (const part_key part : parts) {
        if (const auto it = quarantined_.find(part); it != quarantined_.end()) {
            release(part, it->second.times, now);
        }
        const bool has_room =
            survivals_.contains(part) || survivals_.size() < settings_.tracked_parts;
        // Each request has an own part. Only those of lost requests matter.
        if (has_room && (!is_own_part(part) || is_known_suspect(part))) {
            survivals_[part] = now;
        }
        suspects_.erase(part);
    }
}

bool prompt_quarantine::is_known_suspect(part_key part) const
{
    return suspects_.contains(part) || std::ranges::any_of(reported_, [part](const auto& source) {
               return source.second.parts.contains(part);
           });
}

void prompt_quarantine::release(part_key part, std::uint32_t times, time_point now)
{
    changes_.push_back({{part, duration{0}, times, true}, 0});
    quarantined_.erase(part);
    released_[part] = {times, now};
    std::erase_if(explained_, [part](const auto& item) { return item.second.part == part; });
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

void prompt_quarantine::note_down(replica_run run, time_point lost_at)
{
    const auto it = dropped_.find(run);
    if (it == dropped_.end()) {
        return;
    }
    for (const auto& answer : it->second) {
        if (lost_at - answer.at <= settings_.drop_window &&
            answer.at - lost_at <= loss_noticed_early) {
            blame(answer.parts, run, lost_at);
        }
    }
    dropped_.erase(it);
}

void prompt_quarantine::blame(std::span<const part_key> parts, replica_run run, time_point lost_at)
{
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const part_key part = parts[i];
        if (!suspects_.contains(part) && suspects_.size() >= settings_.tracked_parts) {
            continue;
        }
        suspicion& item = suspects_[part];
        item.crashes.emplace(run, lost_at);
        item.depth = std::max(item.depth, static_cast<std::uint32_t>(i));
        const auto known = quarantined_.find(part);
        if (known != quarantined_.end() && lost_at >= known->second.until) {
            impose(part, known->second.times + 1, 1, lost_at);
        }
    }
}

void prompt_quarantine::take(const std::string& source, const std::vector<part_evidence>& evidence,
                             time_point now)
{
    if (evidence.empty()) {
        reported_.erase(source);
        return;
    }
    reported_evidence& known = reported_[source];
    known = {{}, now};
    for (const auto& item : evidence) {
        suspicion& part = known.parts[item.part];
        part.depth = item.depth;
        if (item.survival_age) {
            part.survived_at = now - *item.survival_age;
        }
        for (const auto& lost : item.crashes) {
            part.crashes[lost.run] = now - lost.age;
            note_down(lost.run, now - lost.age);
        }
    }
}

void prompt_quarantine::adopt(const quarantined_part& imposed, time_point now)
{
    const auto known = quarantined_.find(imposed.part);
    if (imposed.released) {
        if (known != quarantined_.end() && known->second.times <= imposed.times) {
            release(imposed.part, known->second.times, now);
        }
        return;
    }
    const auto released = released_.find(imposed.part);
    const bool refuted = released != released_.end() && imposed.times <= released->second.times;
    if (imposed.remaining <= duration{0} || refuted ||
        (known != quarantined_.end() && imposed.times <= known->second.times)) {
        return;
    }
    const time_point until = now + std::min(imposed.remaining, settings_.longest_quarantine);
    begin_quarantine(imposed.part, imposed.times, until, now);
    changes_.push_back({{imposed.part, until - now, imposed.times}, 0});
}

void prompt_quarantine::impose(part_key part, std::uint32_t times, std::size_t crashes,
                               time_point now)
{
    const std::uint32_t doublings = std::min(times - 1, max_doublings);
    const duration doubled = settings_.first_quarantine * (1LL << doublings);
    const duration length = std::min(doubled, settings_.longest_quarantine);
    begin_quarantine(part, times, now + length, now);
    changes_.push_back({{part, length, times}, crashes});
}

void prompt_quarantine::impose(part_key part, std::size_t crashes, time_point now)
{
    const auto released = released_.find(part);
    const std::uint32_t before = released == released_.end() ? 0 : released->second.times;
    impose(part, before + 1, crashes, now);
}

void prompt_quarantine::begin_quarantine(part_key part, std::uint32_t times, time_point until,
                                         time_point now)
{
    quarantined_[part] = {until, times, {}};
    if (!is_own_part(part)) {
        last_imposed_ = part;
        last_imposed_at_ = now;
    }
}

void prompt_quarantine::merge(const suspicion& from, suspicion& into)
{
    into.depth = std::max(into.depth, from.depth);
    if (from.survived_at) {
        into.survived_at =
            std::max(into.survived_at.value_or(*from.survived_at), *from.survived_at);
    }
    for (const auto& [run, at] : from.crashes) {
        const auto [it, added] = into.crashes.emplace(run, at);
        it->second = std::min(it->second, at);
    }
}

// A part that crashes replicas does so each time.
void prompt_quarantine::remove_survived(suspicion& item)
{
    if (item.survived_at) {
        std::erase_if(item.crashes,
                      [&](const auto& crash) { return crash.second <= *item.survived_at; });
    }
}

std::map<part_key, prompt_quarantine::suspicion> prompt_quarantine::pool() const
{
    std::map<part_key, suspicion> out;
    for (const auto& [source, reported] : reported_) {
        for (const auto& [part, item] : reported.parts) {
            merge(item, out[part]);
        }
    }
    for (const auto& [part, item] : suspects_) {
        merge(item, out[part]);
    }
    for (auto& [part, item] : out) {
        merge({0, survived_at(part), {}}, item);
        remove_survived(item);
    }
    return out;
}

prompt_quarantine::suspicion prompt_quarantine::pooled_evidence(part_key part) const
{
    suspicion out{0, survived_at(part), {}};
    for (const auto& [source, reported] : reported_) {
        if (const auto it = reported.parts.find(part); it != reported.parts.end()) {
            merge(it->second, out);
        }
    }
    if (const auto it = suspects_.find(part); it != suspects_.end()) {
        merge(it->second, out);
    }
    remove_survived(out);
    return out;
}

bool prompt_quarantine::is_suspected(std::span<const part_key> parts) const
{
    return std::ranges::any_of(parts, [this](part_key part) {
        return pooled_evidence(part).crashes.size() >= suspicious_crashes(part);
    });
}

std::size_t prompt_quarantine::suspicious_crashes(part_key part) const
{
    return is_own_part(part) ? settings_.suspicious_own_crashes : settings_.suspicious_crashes;
}

std::optional<duration> prompt_quarantine::until_settled(std::span<const part_key> parts,
                                                         time_point now) const
{
    std::optional<duration> out;
    for (const part_key part : parts) {
        const suspicion item = pooled_evidence(part);
        if (item.crashes.size() < suspicious_crashes(part)) {
            continue;
        }
        const auto latest = std::ranges::max_element(
            item.crashes, std::less{}, [](const auto& crash) { return crash.second; });
        const duration until_evaluated =
            is_own_part(part) ? settings_.evaluation_interval : duration{0};
        const duration wait = latest->second + settling_time() + until_evaluated - now;
        if (wait > duration{0} && (!out || wait > *out)) {
            out = wait;
        }
    }
    return out;
}

std::vector<part_evidence> prompt_quarantine::evidence(std::span<const std::string> sources,
                                                       time_point now) const
{
    std::map<part_key, suspicion> found = suspects_;
    for (const auto& source : sources) {
        if (const auto it = reported_.find(source); it != reported_.end()) {
            for (const auto& [part, item] : it->second.parts) {
                merge(item, found[part]);
            }
        }
    }
    // Answers that went on count for the suspects of all VMs, so that each VM can weigh them.
    std::set<part_key> suspected_elsewhere;
    for (const auto& [source, reported] : reported_) {
        for (const auto& [part, item] : reported.parts) {
            if (!item.crashes.empty()) {
                found.try_emplace(part);
                suspected_elsewhere.insert(part);
            }
        }
    }
    std::vector<part_evidence> lost;
    std::vector<part_evidence> survived;
    for (auto& [part, item] : found) {
        merge({0, survived_at(part), {}}, item);
        remove_survived(item);
        part_evidence out{part, item.depth, std::nullopt, {}};
        if (item.survived_at) {
            out.survival_age = now - *item.survived_at;
        }
        for (const auto& [run, at] : item.crashes) {
            out.crashes.push_back({run, now - at});
        }
        if (!out.crashes.empty()) {
            lost.push_back(std::move(out));
        }
        else if (out.survival_age && suspected_elsewhere.contains(part)) {
            survived.push_back(std::move(out));
        }
    }
    std::ranges::sort(lost, std::greater{}, [](const part_evidence& it) {
        return std::pair{it.crashes.size(), !is_own_part(it.part)};
    });
    std::ranges::sort(survived, std::less{},
                      [](const part_evidence& it) { return *it.survival_age; });
    lost.resize(std::min(lost.size(), settings_.reported_suspects));
    survived.resize(std::min(survived.size(), settings_.reported_parts - lost.size()));
    for (auto& item : lost) {
        std::ranges::sort(item.crashes, std::less{}, &lost_run::age);
        item.crashes.resize(std::min(item.crashes.size(), settings_.reported_crashes));
    }
    std::ranges::move(survived, std::back_inserter(lost));
    return lost;
}

std::vector<quarantined_part> prompt_quarantine::quarantined(time_point now) const
{
    std::vector<quarantined_part> out;
    for (const auto& [part, item] : quarantined_) {
        out.push_back({part, item.until - now, item.times});
    }
    return out;
}

std::vector<quarantined_part> prompt_quarantine::reported(time_point now) const
{
    std::vector<quarantined_part> out = quarantined(now);
    for (const auto& [part, item] : released_) {
        out.push_back({part, duration{0}, item.times, true});
    }
    return out;
}

void prompt_quarantine::note_explained(const std::map<part_key, suspicion>& pooled, time_point now)
{
    const bool recently_imposed =
        quarantined_.contains(last_imposed_) && now - last_imposed_at_ < settings_.explained_time;
    for (const auto& [part, item] : pooled) {
        // Another request may have crashed the run as well, because of a part that both share.
        if (is_own_part(part)) {
            continue;
        }
        const bool quarantined = quarantined_.contains(part);
        for (const auto& [run, at] : item.crashes) {
            const bool recent =
                recently_imposed && at >= last_imposed_at_ - settings_.settling_time;
            if (quarantined || recent) {
                const part_key by = quarantined ? part : last_imposed_;
                explained_.try_emplace(run, explanation{by, now}).first->second.at = now;
            }
        }
    }
}

std::vector<prompt_quarantine::suspect>
prompt_quarantine::suspects(const std::map<part_key, suspicion>& pooled, time_point now) const
{
    const duration settling = settling_time();
    std::vector<suspect> out;
    for (const auto& [part, item] : pooled) {
        if (quarantined_.contains(part) || is_own_part(part)) {
            continue;
        }
        suspect found{part, item.depth, {}, 0};
        std::vector<replica_run> explained;
        for (const auto& [run, at] : item.crashes) {
            if (now - at >= settling) {
                (explained_.contains(run) ? explained : found.crashes).push_back(run);
            }
        }
        found.weight = static_cast<double>(found.crashes.size());
        if (std::ssize(found.crashes) >= refuting_crashes) {
            found.weight += explained_weight * static_cast<double>(explained.size());
            std::ranges::copy(explained, std::back_inserter(found.crashes));
            std::ranges::sort(found.crashes);
        }
        out.push_back(std::move(found));
    }
    return out;
}

// The part that crashes replicas occurs in every lost run, others only by chance or because they
// come with it. What precedes it in the prompt is lost with it, and perhaps once more by chance.
std::vector<prompt_quarantine::suspect>
prompt_quarantine::best_explanations(const std::vector<suspect>& all)
{
    const auto rank = [](const suspect& it) { return std::pair{it.weight, it.depth}; };
    const suspect& top = *std::ranges::max_element(all, std::less{}, rank);
    const suspect* best = &top;
    for (const suspect& it : all) {
        if (it.depth > best->depth && it.weight + 1 >= top.weight &&
            std::ranges::includes(top.crashes, it.crashes)) {
            best = &it;
        }
    }
    std::vector<suspect> out;
    std::ranges::copy_if(all, std::back_inserter(out),
                         [&](const suspect& it) { return rank(it) == rank(*best); });
    return out;
}

// A part that was lost nearly as often, in runs that the best explanation leaves open, may be the
// cause as well.
bool prompt_quarantine::is_open(const suspect& best, const suspect& other) const
{
    const bool precedes = std::ranges::includes(other.crashes, best.crashes);
    return other.weight >= static_cast<double>(settings_.min_crashes) &&
           other.weight + 1 >= best.weight && !precedes &&
           !std::ranges::includes(best.crashes, other.crashes);
}

// The more parts have nearly as many lost runs, the more likely one of them has them by chance.
std::size_t prompt_quarantine::crashes_needed(const suspect& best,
                                              const std::vector<suspect>& all) const
{
    const auto open = static_cast<std::size_t>(
        std::ranges::count_if(all, [&](const suspect& other) { return is_open(best, other); }));
    const auto equal =
        static_cast<std::size_t>(std::ranges::count_if(all, [&](const suspect& other) {
            return other.weight == best.weight && other.depth == best.depth &&
                   other.crashes == best.crashes;
        }));
    const std::size_t others = open + equal - 1;
    if (others == 0) {
        return settings_.min_crashes;
    }
    return std::min(settings_.ambiguous_crashes + others - 1, settings_.most_crashes);
}

// The part with the most lost runs is taken first, and its runs no longer count against others.
void prompt_quarantine::evaluate(time_point now)
{
    forget(now);
    if (suspects_.empty() && reported_.empty()) {
        return;
    }
    const std::map<part_key, suspicion> pooled = pool();
    note_explained(pooled, now);
    evaluate_own_parts(pooled, now);
    const std::vector<suspect> all = suspects(pooled, now);
    const bool enough = std::ranges::any_of(all, [this](const suspect& it) {
        return it.weight >= static_cast<double>(settings_.min_crashes);
    });
    if (!enough) {
        return;
    }
    for (const auto& item : best_explanations(all)) {
        if (item.weight >= static_cast<double>(crashes_needed(item, all))) {
            impose(item.part, item.crashes.size(), now);
        }
    }
}

// A request may be lost by chance beside one that crashes replicas. It is explained by that one
// only if all its runs are: one that crashes replicas itself sooner or later loses a run that is
// not.
void prompt_quarantine::evaluate_own_parts(const std::map<part_key, suspicion>& pooled,
                                           time_point now)
{
    std::set<replica_run> attributed;
    std::vector<std::pair<std::size_t, part_key>> lost;
    for (const auto& [part, item] : pooled) {
        if (quarantined_.contains(part)) {
            for (const auto& [run, at] : item.crashes) {
                attributed.insert(run);
            }
        }
        else if (is_own_part(part) && item.crashes.size() >= settings_.min_own_crashes) {
            lost.emplace_back(item.crashes.size(), part);
        }
    }
    std::ranges::sort(lost, std::greater{});
    const duration settling = settling_time();
    for (const auto& [n, part] : lost) {
        const auto& crashes = pooled.at(part).crashes;
        std::size_t settled = 0;
        bool explained = true;
        for (const auto& [run, at] : crashes) {
            if (now - at >= settling) {
                ++settled;
                explained = explained && attributed.contains(run);
            }
        }
        if (settled < settings_.min_own_crashes || explained) {
            continue;
        }
        impose(part, crashes.size(), now);
        for (const auto& [run, at] : crashes) {
            attributed.insert(run);
        }
    }
}

void prompt_quarantine::forget(time_point now)
{
    const auto outdated = [&](time_point at) { return now - at > settings_.crash_memory; };
    for (auto& [part, item] : suspects_) {
        std::erase_if(item.crashes, [&](const auto& crash) { return outdated(crash.second); });
        item.survived_at = survived_at(part);
        remove_survived(item);
    }
    std::erase_if(suspects_, [](const auto& item) { return item.second.crashes.empty(); });
    std::erase_if(explained_, [&](const auto& item) { return outdated(item.second.at); });
    std::erase_if(reported_, [&](const auto& item) { return outdated(item.second.at); });
    std::erase_if(released_, [&](const auto& item) {
        return now - item.second.at > settings_.release_memory;
    });
    for (auto& [run, answers] : dropped_) {
        // Other VMs report a lost run some time after the loss.
        std::erase_if(answers, [&](const dropped_answer& it) {
            return now - it.at > settings_.drop_window + settling_time();
        });
    }
    std::erase_if(dropped_, [](const auto& item) { return item.second.empty(); });
    std::erase_if(quarantined_, [&](const auto& item) {
        return now - item.second.until > settings_.longest_quarantine;
    });
    if (survivals_.size() >= settings_.tracked_parts) {
        std::erase_if(survivals_, [&](const auto& item) { return outdated(item.second); });
    }
}

duration prompt_quarantine::settling_time() const
{
    return std::max(settings_.settling_time, report_delay_);
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
