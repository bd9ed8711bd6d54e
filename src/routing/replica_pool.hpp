#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "config/document.hpp"
#include "routing/outlier_detector.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

// What one VM knows of all upstreams, kept ready for the chooser.
//
//   pool.configure(document.upstreams, now);
//   pool.set_health(upstream, replica_health::usable, run, now);
//   pool.report_load(upstream, {.running = 3, .waiting = 0, .age = 400ms}, now);
//   auto ticket = pool.begin(choice.replica, now);
//   pool.finish(ticket, {.result = attempt_result::succeeded, .first_token = 120ms}, now);

namespace wagtailhitch {

/// `leaving` is final for an incarnation of the upstream; `down` is not.
enum class replica_health { unknown, usable, leaving, down };

template<>
inline constexpr auto enum_names<replica_health> = name_table<replica_health, 4>{{
    {replica_health::unknown, "unknown"},
    {replica_health::usable, "usable"},
    {replica_health::leaving, "leaving"},
    {replica_health::down, "down"},
}};

/// Nearest first: the own failure domain, the rest of the region, other regions.
enum class locality { domain, region, remote };
inline constexpr std::size_t locality_count = 3;

template<>
inline constexpr auto enum_names<locality> = name_table<locality, locality_count>{{
    {locality::domain, "domain"},
    {locality::region, "region"},
    {locality::remote, "remote"},
}};

struct pool_settings {
    failure_domain_id failure_domain{}; ///< of this VM
    region_id region{};
    duration slow_start{10s};
    double slow_start_floor{0.1}; ///< capacity share of a replica at the start of the ramp
    /// Wait before new work after a replica returned from `down`; doubles with each return that
    /// follows the last within a minute.
    duration first_return_wait{1s};
    duration longest_return_wait{60s};
    duration flap_window{60s};
    duration slowness_memory{30s}; ///< time constant with which an observed slowness is forgotten
    double smoothing{0.2};         ///< weight of a new observation in the averages
    /// First-token time that a failed attempt counts as, so that failing fast does not look fast.
    duration failure_time{5s};
    outlier_settings outliers{};
};

/// Load as an upstream last knew it. `age`: how long before now it was measured.
struct load_report {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    duration age{};
};

/// `cancelled`: ended by the caller or by the end of a hedge; says nothing about the replica.
enum class attempt_result { succeeded, failed, cancelled };

struct attempt_outcome {
    attempt_result result{attempt_result::succeeded};
    duration first_token{}; ///< from dispatch; whole time for plain services
    duration total{};
    /// First-token time that the chooser predicted without the replica's slowness;
    /// `choice::predicted`.
    duration predicted{};
};

/// Names a dispatched attempt in its replica's counts.
struct dispatch_ticket {
    replica_index replica{0};
    std::uint32_t generation{0};
    std::uint64_t sequence{0};
    bool trial{false};
};

/// Requests at one replica; kept apart from the other facts because the chooser reads it for all
/// members of a pool.
struct replica_load {
    float reported{0};               ///< running and waiting, when last measured
    std::uint32_t slots{1};          ///< requests that run at once
    std::uint32_t in_flight{0};      ///< own attempts
    std::uint32_t sent_since{0};     ///< own attempts in flight that the report cannot include
    std::uint32_t finished_since{0}; ///< own attempts in the report that have ended
    bool known{false};               ///< a report was received
};

/// One replica as the chooser sees it.
struct replica_view {
    upstream_id id{};
    upstream_spec spec{};
    locality distance{locality::remote};
    replica_health health{replica_health::unknown};
    std::uint64_t run{0};        ///< incarnation of the upstream
    bool ramped{false};          ///< slow start applies: it is new, restarted or was down
    time_point usable_since{};   ///< start of the slow-start ramp
    time_point not_before{};     ///< flap damping: no new work before
    time_point returned_at{};    ///< latest return from `down`
    std::uint32_t returns{0};    ///< returns that followed each other within the flap window
    time_point load_at{};        ///< when the load in use was measured
    double log_slowness{0};      ///< mean logarithm of observed over predicted first-token time
    time_point slowness_at{};    ///< when the slowness was last observed
    duration mean_total{};       ///< of successful attempts; 0 before the first
    std::uint32_t generation{0}; ///< changes when the index is reused
    bool present{false};
};

/// Statistics of one replica that VMs of a domain share.
struct replica_share {
    upstream_id upstream{};
    outcome_counts counts{};
    double slowness{1};
};

/// All upstreams known to one VM: facts from the configuration, health and load from probes and
/// peers, own attempts, and outliers. A single thread owns it.
class replica_pool {
public:
    explicit replica_pool(pool_settings settings);

    /// Replaces the declared upstreams. Known ones keep their state unless their address changed.
    void configure(const std::map<upstream_id, upstream_spec>& upstreams, time_point now);
    /// `run`: incarnation of the upstream, 0 when the source does not know it. A `leaving`
    /// upstream stays so until a higher incarnation is seen.
    void set_health(const upstream_id& upstream, replica_health health, std::uint64_t run,
                    time_point now);
    /// Versions that an engine says it has loaded; replaces the declared ones until a configuration
    /// changes them.
    void set_loaded(const upstream_id& upstream, const std::vector<version_id>& loaded);
    /// Older reports than the one in use are ignored.
    void report_load(const upstream_id& upstream, const load_report& report, time_point now);

    /// Counts an attempt as sent. Ends a wait for a trial request if the replica is on trial.
    dispatch_ticket begin(replica_index replica, time_point now);
    /// Counts an attempt as ended. True when the replica is ejected by it.
    bool finish(const dispatch_ticket& ticket, const attempt_outcome& outcome, time_point now);

    /// Takes the statistics recorded here since the last call, for the peers of the domain.
    std::vector<replica_share> take_shares();
    void merge_share(const replica_share& share, time_point now);

    [[nodiscard]] std::optional<replica_index> find(const upstream_id& upstream) const;
    [[nodiscard]] const replica_view& view(replica_index replica) const;
    [[nodiscard]] const replica_load& load(replica_index replica) const;
    [[nodiscard]] bool holds(replica_index replica, const version_id& version) const;
    [[nodiscard]] std::size_t size() const { return indexes_.size(); }
    /// Replicas that hold the version and are usable, at one distance; ejected and damped ones are
    /// included, see admits().
    [[nodiscard]] std::span<const replica_index> members(const version_id& version,
                                                         locality distance) const;
    [[nodiscard]] std::span<const replica_index> service_members(std::string_view service,
                                                                 locality distance) const;
    /// Whether new work may be sent: usable, past its damping wait, and not ejected.
    [[nodiscard]] bool admits(replica_index replica, time_point now) const;
    [[nodiscard]] outlier_state outlier(replica_index replica, time_point now) const;
    /// Share of its capacity that a replica takes during slow start, 0 to 1.
    [[nodiscard]] double ramp(replica_index replica, time_point now) const;
    /// Slowness, forgotten with time.
    [[nodiscard]] double slowness(replica_index replica, time_point now) const;
    /// Mean whole time of attempts: the replica's own or, before its first, the pool's.
    [[nodiscard]] duration mean_total(replica_index replica) const;
    [[nodiscard]] const outlier_detector& outliers() const { return outliers_; }

private:
    struct group {
        std::array<std::vector<replica_index>, locality_count> members;
    };

    struct sequence_time {
        std::uint64_t sequence{0};
        time_point at;
    };
    /// Latest dispatches and ends, to find which of them a lagged report includes. Beyond this
    /// many since the report, older ones are taken to be included.
    static constexpr std::size_t remembered = 64;
    struct attempt_log {
        std::uint64_t next_sequence{0};
        std::uint64_t first_unreported{0}; ///< attempts from here on are not in the report
        std::uint64_t ends{0};
        std::array<time_point, remembered> sent{};
        std::array<sequence_time, remembered> ended{};
        std::array<bool, remembered> open{};
    };

    replica_index allocate();
    void remove(replica_index replica);
    void restart(replica_index replica);
    void update(replica_index replica, const upstream_spec& spec, time_point now);
    void link(replica_index replica);
    void unlink(replica_index replica);
    [[nodiscard]] const group* find_group(std::string_view name, bool service) const;
    [[nodiscard]] locality distance_to(const upstream_spec& spec) const;
    [[nodiscard]] ejection_room room(replica_index replica) const;
    void change_health(replica_index replica, replica_health health, time_point now);
    void note_return(replica_view& replica, time_point now) const;
    void learn(replica_view& replica, const attempt_outcome& outcome, time_point now);
    void note_slowness(replica_view& replica, double log_ratio, time_point now) const;
    void count_end(const dispatch_ticket& ticket, time_point now);

    pool_settings settings_;
    std::vector<replica_view> replicas_;
    std::vector<replica_load> loads_;
    std::vector<attempt_log> attempts_;
    std::vector<std::vector<version_id>> loaded_; ///< versions, by replica
    bool configured_{false};
    std::vector<replica_index> free_;
    std::unordered_map<upstream_id, replica_index> indexes_;
    std::map<std::string, group, std::less<>> versions_;
    std::map<std::string, group, std::less<>> services_;
    outlier_detector outliers_;
    duration pool_mean_total_{};
};

} // namespace wagtailhitch
