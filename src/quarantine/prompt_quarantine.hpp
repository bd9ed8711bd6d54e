#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

// Finds prompt parts that crash every replica that begins an answer to them, and keeps requests
// with such a part from the replicas. The part may be shared with other requests, or be the
// request's own, which its caller sends again when it repeats the request. The VMs pool their
// evidence; a quarantine that one of them imposes applies to all.
//
//   prompt_quarantine quarantine{settings};
//   quarantine.note_survived(parts, now);      // the answer went on past its beginning
//   quarantine.note_lost(parts, run, now);     // the replica was lost before that
//   quarantine.take("vm-2", evidence, now);    // from another VM
//   quarantine.evaluate(now);
//   if (auto hold = quarantine.find(parts, now)) { refuse(hold->remaining); }

namespace wagtailhitch {

/// Hash of a service and of a prompt part. The highest bit is set in keys of parts that belong to
/// one request and its repeats.
using part_key = std::uint64_t;
constexpr part_key own_part_bit = part_key{1} << 63U;

constexpr part_key shared_part_key(std::uint64_t hash)
{
    return hash & ~own_part_bit;
}
constexpr part_key own_part_key(std::uint64_t hash)
{
    return hash | own_part_bit;
}
constexpr bool is_own_part(part_key part)
{
    return (part & own_part_bit) != 0;
}

/// Hash of one run of a replica, from its start to its end.
using replica_run = std::uint64_t;

struct quarantine_settings {
    /// Replica runs that must have been lost in a row before a part is quarantined: with no answer
    /// between them that went on past its beginning.
    std::size_t min_crashes{4};
    /// Replica runs lost in a row from which on requests with the part are not sent again.
    std::size_t suspicious_crashes{3};
    /// `min_crashes` and `suspicious_crashes` for a request's own part. Few requests have it, so
    /// that it is unlikely to be lost several times by chance.
    std::size_t min_own_crashes{3};
    std::size_t suspicious_own_crashes{2};
    /// Runs needed if another part has nearly as many; one more for each further such part, up to
    /// `most_crashes`. From then on, parts that the evidence cannot tell apart are all quarantined.
    std::size_t ambiguous_crashes{6};
    std::size_t most_crashes{12};
    duration crash_memory{120s}; ///< a part without a lost run for this time is no suspect
    /// Lost runs count after this time, so that other VMs can report answers that went on.
    duration settling_time{1s};
    /// Longest time between two calls of evaluate(). A request that waits for the evidence on its
    /// own part waits until the evaluation has seen it.
    duration evaluation_interval{250ms};
    /// Runs lost up to this time after a quarantine began, or `settling_time` before, are
    /// attributed to its part: requests were under way, and other VMs report them late.
    duration explained_time{2s};
    /// A replica that is lost within this time after an answer was dropped may have crashed on it.
    duration drop_window{600ms};
    duration first_quarantine{300s}; ///< doubles each time that the part crashes a replica again
    duration longest_quarantine{3600s};
    /// While one request tests whether a quarantine can end, others wait for this time at most.
    duration probe_timeout{15s};
    /// For this time after an answer with a quarantined part went on, no other VM's knowledge of
    /// that quarantine is taken.
    duration release_memory{30s};
    /// Bounds of what is reported and kept.
    std::size_t reported_parts{48};
    std::size_t reported_suspects{32}; ///< the rest is left for answers that went on
    std::size_t reported_crashes{16};
    std::size_t tracked_parts{8192};
};

/// A run of a replica that was lost at the beginning of an answer.
struct lost_run {
    replica_run run{0};
    duration age{}; ///< since the loss

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

/// Evidence on one part: of one VM, or of the VMs of a failure domain.
struct part_evidence {
    part_key part{0};
    std::uint32_t depth{0}; ///< position in the prompt: later parts are shared by fewer requests
    std::optional<duration> survival_age; ///< since the last answer that went on past its beginning
    std::vector<lost_run> crashes;

    friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

struct quarantined_part {
    part_key part{0};
    duration remaining{};   ///< negative if it has ended and the part has not been tested since
    std::uint32_t times{1}; ///< how often the part was quarantined
    bool released{false};   ///< an answer with the part went on, which refutes the quarantine

    friend bool operator==(const quarantined_part&, const quarantined_part&) = default;
};

/// A quarantine that holds a request back.
struct quarantine_hold {
    part_key part{0};
    duration remaining{};
};

/// A change to be logged and stored. `remaining` of a part that was released is zero.
struct quarantine_change {
    quarantined_part part;
    std::size_t crashes{0}; ///< replica runs lost on it; 0 if another VM imposed the quarantine
};

class prompt_quarantine {
public:
    explicit prompt_quarantine(quarantine_settings settings = {}) : settings_{settings} {}

    /// An answer went on past its beginning. Ends a quarantine of its parts.
    void note_survived(std::span<const part_key> parts, time_point now);
    /// The replica's run was lost before the answer went on past its beginning.
    void note_lost(std::span<const part_key> parts, replica_run run, time_point now);
    /// The answer was dropped at its beginning. If the run is lost soon, that counts as lost on it.
    void note_dropped(std::span<const part_key> parts, replica_run run, time_point now);
    /// The replica's run was lost at the given time, or before, as a refused connection shows.
    void note_down(replica_run run, time_point lost_at);
    /// Time that other VMs' reports take. Lost runs count after it, if it exceeds the settling
    /// time.
    void set_report_delay(duration delay) { report_delay_ = delay; }

    /// Replaces the evidence that another VM or failure domain has reported.
    void take(const std::string& source, const std::vector<part_evidence>& evidence,
              time_point now);
    /// Applies a quarantine that another VM imposed or that was read from the store.
    void adopt(const quarantined_part& imposed, time_point now);
    /// Evidence of this VM, or of this VM and the given sources.
    [[nodiscard]] std::vector<part_evidence> evidence(std::span<const std::string> sources,
                                                      time_point now) const;
    [[nodiscard]] std::vector<quarantined_part> quarantined(time_point now) const;
    /// What other VMs are told: the quarantined parts and those released a short time ago.
    [[nodiscard]] std::vector<quarantined_part> reported(time_point now) const;

    /// Imposes the quarantines that the pooled evidence justifies, and forgets what is outdated.
    void evaluate(time_point now);
    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<quarantine_change> take_changes();
    /// Dropped answers that a lost replica could still be attributed to.
    [[nodiscard]] std::size_t dropped_answers() const;

    /// The longest quarantine of a request with these parts; nothing if it may be sent. Once a
    /// quarantine is over, one request at a time is let through to test the part.
    [[nodiscard]] std::optional<quarantine_hold> find(std::span<const part_key> parts,
                                                      time_point now) const;
    /// Whether one of the parts may be about to be quarantined: a request that lost its replica
    /// with it should not be sent to another one.
    [[nodiscard]] bool is_suspected(std::span<const part_key> parts) const;
    /// Time until the latest lost run of a suspected part counts; nothing if none is that recent. A
    /// request with the part should wait for that long, so that it crashes no replica meanwhile.
    [[nodiscard]] std::optional<duration> until_settled(std::span<const part_key> parts,
                                                        time_point now) const;
    /// Records that a request was sent. Returns whether it tests a part whose quarantine is over.
    bool note_sent(std::span<const part_key> parts, time_point now);

private:
    struct dropped_answer {
        std::vector<part_key> parts;
        time_point at;
    };
    /// What is known of a part that is not quarantined, of this VM, of another, or of all.
    struct suspicion {
        std::uint32_t depth{0};
        std::optional<time_point> survived_at;
        std::map<replica_run, time_point> crashes;
    };
    struct reported_evidence {
        std::map<part_key, suspicion> parts;
        time_point at;
    };
    /// A part and the lost runs that count against it.
    struct suspect {
        part_key part{0};
        std::uint32_t depth{0};
        std::vector<replica_run> crashes; ///< sorted
        double weight{0};                 ///< number of runs; explained ones count less
    };
    struct explanation {
        part_key part{0}; ///< quarantined
        time_point at;
    };
    struct released_part {
        std::uint32_t times{1};
        time_point at;
    };
    struct entry {
        time_point until;
        std::uint32_t times{1};
        time_point probe_sent{};
    };

    [[nodiscard]] bool is_known_suspect(part_key part) const;
    [[nodiscard]] std::size_t suspicious_crashes(part_key part) const;
    /// Imposes the quarantines of requests' own parts.
    void evaluate_own_parts(const std::map<part_key, suspicion>& pooled, time_point now);
    void blame(std::span<const part_key> parts, replica_run run, time_point lost_at);
    void impose(part_key part, std::uint32_t times, std::size_t crashes, time_point now);
    /// Imposes a quarantine that lasts longer if the part has been released a short time ago.
    void impose(part_key part, std::size_t crashes, time_point now);
    void begin_quarantine(part_key part, std::uint32_t times, time_point until, time_point now);
    void release(part_key part, std::uint32_t times, time_point now);
    [[nodiscard]] std::optional<time_point> survived_at(part_key part) const;
    static void merge(const suspicion& from, suspicion& into);
    static void remove_survived(suspicion& item);
    /// Evidence of this VM and all others on one part.
    [[nodiscard]] suspicion pooled_evidence(part_key part) const;
    /// Evidence of this VM and all others.
    [[nodiscard]] std::map<part_key, suspicion> pool() const;
    void note_explained(const std::map<part_key, suspicion>& pooled, time_point now);
    /// The parts that are not quarantined, with the runs that count against them.
    [[nodiscard]] std::vector<suspect> suspects(const std::map<part_key, suspicion>& pooled,
                                                time_point now) const;
    /// The parts that explain most lost runs and, of those, the most specific ones.
    [[nodiscard]] static std::vector<suspect> best_explanations(const std::vector<suspect>& all);
    [[nodiscard]] bool is_open(const suspect& best, const suspect& other) const;
    [[nodiscard]] std::size_t crashes_needed(const suspect& best,
                                             const std::vector<suspect>& all) const;
    void forget(time_point now);
    /// Time after which lost runs count.
    [[nodiscard]] duration settling_time() const;

    quarantine_settings settings_;
    duration report_delay_{};
    std::unordered_map<part_key, time_point> survivals_; ///< the last one of each part
    std::map<part_key, suspicion> suspects_;             ///< parts of answers that this VM lost
    std::map<replica_run, std::vector<dropped_answer>> dropped_;
    std::map<std::string, reported_evidence> reported_;
    std::map<replica_run, explanation> explained_; ///< lost on a part that is quarantined
    std::map<part_key, entry> quarantined_;
    std::map<part_key, released_part> released_;
    part_key last_imposed_{0};
    time_point last_imposed_at_{};
    std::vector<quarantine_change> changes_;
};

} // namespace wagtailhitch
