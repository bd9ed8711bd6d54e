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
// with such a part from the replicas. The VMs pool their evidence; a quarantine that one of them
// imposes applies to all.
//
//   prompt_quarantine quarantine{settings};
//   quarantine.note_survived(parts, now);      // the answer went on past its beginning
//   quarantine.note_lost(parts, run, now);     // the replica was lost before that
//   quarantine.take("vm-2", evidence, now);    // from another VM
//   quarantine.evaluate(now);
//   if (auto hold = quarantine.find(parts, now)) { refuse(hold->remaining); }

namespace wagtailhitch {

/// Hash of a service and of a prompt part that its requests may share.
using part_key = std::uint64_t;
/// Hash of one run of a replica, from its start to its end.
using replica_run = std::uint64_t;

struct quarantine_settings {
    /// Replica runs that must have been lost before a part is quarantined.
    std::size_t min_crashes{4};
    /// From this number on, parts that the evidence cannot tell apart are all quarantined.
    std::size_t ambiguous_crashes{6};
    /// Lost runs that outweigh one answer that went on past its beginning.
    double crashes_per_survival{4};
    duration survival_time_constant{10s};
    duration crash_memory{120s}; ///< a part without a lost run for this time is no suspect
    /// Time for which the evidence must hold, so that other VMs can report answers that went on.
    duration settling_time{1s};
    /// Runs lost up to this time after a quarantine began are attributed to its part: requests were
    /// under way, and other VMs report them late.
    duration explained_time{2s};
    /// A replica that is lost within this time after an answer was dropped may have crashed on it.
    duration drop_window{3s};
    duration first_quarantine{300s}; ///< doubles each time that the part crashes a replica again
    duration longest_quarantine{3600s};
    /// While one request tests whether a quarantine can end, others wait for this time at most.
    duration probe_timeout{15s};
    /// Bounds of what is reported and kept.
    std::size_t reported_parts{16};
    std::size_t reported_crashes{16};
    std::size_t tracked_parts{8192};
};

/// Evidence on one part: of one VM, or of the VMs of a failure domain.
struct part_evidence {
    part_key part{0};
    std::uint32_t depth{0}; ///< position in the prompt: later parts are shared by fewer requests
    double survivals{0};    ///< decayed number of answers that went on past their beginning
    std::vector<replica_run> crashes;

    friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

struct quarantined_part {
    part_key part{0};
    duration remaining{};   ///< negative if it has ended and the part has not been tested since
    std::uint32_t times{1}; ///< how often the part was quarantined

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
    bool released{false};
    std::size_t crashes{0}; ///< replica runs lost on it; 0 if another VM imposed the quarantine
};

class prompt_quarantine {
public:
    explicit prompt_quarantine(quarantine_settings settings = {}) : settings_{settings} {}

    void note_survived(std::span<const part_key> parts, time_point now);
    /// The replica's run was lost before the answer went on past its beginning.
    void note_lost(std::span<const part_key> parts, replica_run run, time_point now);
    /// The answer was dropped at its beginning. If the run is lost soon, that counts as lost on it.
    void note_dropped(std::span<const part_key> parts, replica_run run, time_point now);
    /// The replica's run has ended, as a refused connection shows.
    void note_down(replica_run run, time_point now);

    /// Replaces the evidence that another VM or failure domain has reported.
    void take(const std::string& source, std::vector<part_evidence> evidence, time_point now);
    /// Applies a quarantine that another VM imposed or that was read from the store.
    void adopt(const quarantined_part& imposed, time_point now);
    /// Evidence of this VM, or of this VM and the given sources.
    [[nodiscard]] std::vector<part_evidence> evidence(std::span<const std::string> sources,
                                                      time_point now) const;
    [[nodiscard]] std::vector<quarantined_part> quarantined(time_point now) const;

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
    /// Records that a request was sent. Returns whether it tests a part whose quarantine is over.
    bool note_sent(std::span<const part_key> parts, time_point now);

private:
    struct survival_count {
        double value{0};
        time_point updated_at;
    };
    struct dropped_answer {
        std::vector<part_key> parts;
        time_point at;
    };
    struct reported_evidence {
        std::vector<part_evidence> parts;
        time_point at;
    };
    struct suspicion {
        std::uint32_t depth{0};
        std::map<replica_run, time_point> crashes;
    };
    struct pooled_evidence {
        std::uint32_t depth{0};
        double survivals{0};
        std::set<replica_run> crashes;
    };
    struct entry {
        time_point until;
        std::uint32_t times{1};
        time_point probe_sent{};
    };

    [[nodiscard]] double survivals(part_key part, time_point now) const;
    void blame(std::span<const part_key> parts, replica_run run, time_point now);
    void impose(part_key part, std::uint32_t times, std::size_t crashes, time_point now);
    static void add(const part_evidence& item, std::map<part_key, pooled_evidence>& out);
    void add_suspects(std::map<part_key, pooled_evidence>& out) const;
    [[nodiscard]] std::map<part_key, pooled_evidence> pool(time_point now) const;
    /// Removes the quarantined parts, and from the others the lost runs that those explain.
    void remove_explained(std::map<part_key, pooled_evidence>& pooled, time_point now);
    [[nodiscard]] bool is_suspect(const pooled_evidence& item) const;
    /// Keeps the parts that explain most lost runs and, of those, the most specific ones.
    static void keep_best_explanations(std::map<part_key, pooled_evidence>& suspects);
    void forget(time_point now);

    quarantine_settings settings_;
    std::unordered_map<part_key, survival_count> survivals_;
    std::map<part_key, suspicion> suspects_; ///< parts of answers that this VM lost
    std::map<replica_run, std::vector<dropped_answer>> dropped_;
    std::map<std::string, reported_evidence> reported_;
    std::map<part_key, time_point> suspected_since_;
    std::map<replica_run, time_point> explained_; ///< lost on a part that is quarantined
    std::map<part_key, entry> quarantined_;
    time_point last_imposed_at_{};
    std::vector<quarantine_change> changes_;
};

} // namespace wagtailhitch
