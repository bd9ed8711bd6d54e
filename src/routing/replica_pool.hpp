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

// State of all upstreams as known to one VM, organized for the chooser.
//
//   pool.configure(document.upstreams, now);
//   pool.set_health(upstream, replica_health::usable, run, now);
//   pool.report_load(upstream, {.running = 3, .waiting = 0, .age = 400ms}, now);
//   auto ticket = pool.begin(choice.replica, now);
//   pool.finish(ticket, {.result = attempt_result::succeeded, .first_token = 120ms}, now);

namespace wagtailhitch {

/// `leaving` is final until the upstream restarts with a higher incarnation; `down` is not final.
enum class replica_health { unknown, usable, leaving, down };

template<>
inline constexpr auto enum_names<replica_health> = name_table<replica_health, 4>{{
    {replica_health::unknown, "unknown"},
    {replica_health::usable, "usable"},
    {replica_health::leaving, "leaving"},
    {replica_health::down, "down"},
}};

/// Nearest first: this VM's failure domain, the rest of its region, other regions.
enum class locality { domain, region, remote };
inline constexpr std::size_t locality_count = 3;

template<>
inline constexpr auto enum_names<locality> = name_table<locality, locality_count>{{
    {locality::domain, "domain"},
    {locality::region, "region"},
    {locality::remote, "remote"},
}};

/// Why a replica gets no new requests for a time.
enum class hold_reason { none, connection_refused, asked_for_quiet };

template<>
inline constexpr auto enum_names<hold_reason> = name_table<hold_reason, 3>{{
    {hold_reason::none, "none"},
    {hold_reason::connection_refused, "connection_refused"},
    {hold_reason::asked_for_quiet, "asked_for_quiet"},
}};

struct pool_settings {
    failure_domain_id failure_domain{}; ///< of this VM
    region_id region{};
    duration slow_start{10s};
    double slow_start_floor{0.1}; ///< fraction of its capacity that a replica starts with
    /// Delay before new requests after a replica returns from `down`; doubles with each further
    /// return within `flap_window` (a minute) of the last.
    duration first_return_wait{1s};
    duration longest_return_wait{60s};
    duration flap_window{60s};
    duration slowness_time_constant{30s}; ///< time constant of the decay of slowness towards 1
    double smoothing{0.2};                ///< weight of a new observation in the moving averages
    /// Minimum first-token time recorded for a failed attempt, so that a replica that fails quickly
    /// does not look fast.
    duration failure_first_token{5s};
    /// Time without requests after a refused connection; doubles with each further one.
    duration first_refused_wait{500ms};
    duration longest_refused_wait{4s};
    /// Longest time for which a replica that asks for quiet is set aside.
    duration longest_quiet{60s};
    /// While one request tests a replica after a hold, others wait for this time at most.
    duration hold_test_timeout{5s};
    duration hold_test_poll{50ms}; ///< interval of the checks whether the test has ended
    outlier_settings outliers{};
};

/// Load reported by an upstream. `age`: time since it was measured.
struct load_report {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    duration age{};
};

/// `cancelled`: ended by the caller or by the end of a hedge; not counted for or against the
/// replica.
enum class attempt_result { succeeded, failed, cancelled };

struct attempt_outcome {
    attempt_result result{attempt_result::succeeded};
    duration first_token{}; ///< since dispatch; total time for plain services
    duration total{};
    /// First-token time predicted by the chooser without the replica's slowness, from
    /// `choice::predicted`.
    duration predicted{};
    bool connection_refused{false}; ///< no process listens at the replica's address
    /// Cancelled because a later attempt was answered first. `first_token` is then the time until
    /// the cancellation, a lower bound.
    bool overtaken{false};
};

/// Identifies a dispatched attempt.
struct dispatch_ticket {
    replica_index replica{0};
    std::uint32_t generation{0};
    std::uint64_t sequence{0};
    bool trial{false};
    bool tests_hold{false}; ///< the first request after a hold
};

/// Load of one replica. Separate from replica_view because the chooser reads it for all members of
/// a pool.
struct replica_load {
    float reported{0};               ///< running plus waiting, from the last report
    std::uint32_t slots{1};          ///< requests that can run at once
    std::uint32_t in_flight{0};      ///< attempts of this VM
    std::uint32_t sent_since{0};     ///< of those, sent after the report was measured
    std::uint32_t finished_since{0}; ///< attempts of this VM in the report, since ended
    bool known{false};               ///< a report was received
};

/// State of one replica that the chooser reads.
struct replica_view {
    upstream_id id{};
    upstream_spec spec{};
    locality distance{locality::remote};
    replica_health health{replica_health::unknown};
    std::uint64_t run{0};         ///< incarnation of the upstream
    bool needs_slow_start{false}; ///< slow start applies: new, restarted, was down or ejected
    time_point usable_since{};    ///< start of the slow-start ramp
    time_point not_before{};      ///< flap damping: no new requests before this time
    time_point returned_at{};     ///< latest return from `down`
    hold_reason held{hold_reason::none};
    time_point held_until{};     ///< no new requests before this time; then one at a time
    time_point hold_tested_at{}; ///< start of the request that tests the replica after the hold
    std::uint32_t refusals{0};   ///< refused connections in a row
    std::uint32_t returns{0};    ///< consecutive returns within the flap window of each other
    time_point load_at{};        ///< when the current load report was measured
    double log_slowness{0};      ///< moving average of log(observed / predicted first-token time)
    time_point slowness_at{};    ///< when the slowness was last observed
    duration mean_total{};       ///< of successful attempts; 0 before the first
    std::uint32_t generation{0}; ///< changes when the index is reused
    bool present{false};
};

/// Statistics of one replica, exchanged between the VMs of a failure domain.
struct replica_statistics {
    upstream_id upstream{};
    outcome_counts counts{};
    double slowness{1};
};

/// Holds all upstreams known to one VM: their configuration, health and load from probes and peers,
/// the attempts of this VM, and outlier ejections. Not thread-safe; used by a single thread.
class replica_pool {
public:
    explicit replica_pool(pool_settings settings);

    /// Replaces the configured upstreams. Existing ones keep their state unless their address
    /// changed.
    void configure(const std::map<upstream_id, upstream_spec>& upstreams, time_point now);
    /// `run`: incarnation of the upstream, 0 if the source does not know it. A `leaving` upstream
    /// keeps that state until a higher incarnation is seen.
    void set_health(const upstream_id& upstream, replica_health health, std::uint64_t run,
                    time_point now);
    /// Sets the versions that an engine reports as loaded. They replace the configured ones until
    /// the configuration changes those.
    void set_loaded(const upstream_id& upstream, const std::vector<version_id>& loaded);
    /// Reports older than the current one are ignored.
    void report_load(const upstream_id& upstream, const load_report& report, time_point now);

    /// Records that an attempt was sent. If the replica is on trial, the attempt is its trial
    /// request.
    dispatch_ticket begin(replica_index replica, time_point now);
    /// Records that an attempt ended. Returns true if its outcome ejects the replica.
    bool finish(const dispatch_ticket& ticket, const attempt_outcome& outcome, time_point now);

    /// Keeps new requests from a replica until `until`, or a later time of an earlier hold. After
    /// that one request at a time is let through until the replica has answered one.
    void hold(replica_index replica, hold_reason reason, time_point until);
    /// Sets a replica aside that asks for no requests. Returns false if it already was for as long.
    bool hold_for_quiet(replica_index replica, duration quiet, time_point now);
    /// Whether the request of an earlier begin() may still be written to the replica.
    [[nodiscard]] bool may_send(const dispatch_ticket& ticket, time_point now) const;
    /// Time until the replica's hold ends, or until its test is checked again; nothing if it has no
    /// hold or cannot be used for another reason.
    [[nodiscard]] std::optional<duration> until_released(replica_index replica,
                                                         time_point now) const;
    /// The replica has begun to answer the attempt, which ends the hold that the attempt tests.
    void note_answered(const dispatch_ticket& ticket, time_point now);

    /// Returns the statistics that this VM recorded since the last call, for its peers in the
    /// failure domain, and resets the outcome counts.
    std::vector<replica_statistics> take_statistics();
    void merge_statistics(const replica_statistics& share, time_point now);

    [[nodiscard]] std::optional<replica_index> find(const upstream_id& upstream) const;
    [[nodiscard]] const replica_view& view(replica_index replica) const;
    [[nodiscard]] const replica_load& load(replica_index replica) const;
    [[nodiscard]] bool holds(replica_index replica, const version_id& version) const;
    [[nodiscard]] std::size_t size() const { return indexes_.size(); }
    /// Returns the usable replicas at one distance that have the version loaded. Includes ejected
    /// replicas and those in flap damping; see admits().
    [[nodiscard]] std::span<const replica_index> members(const version_id& version,
                                                         locality distance) const;
    [[nodiscard]] std::span<const replica_index> service_members(std::string_view service,
                                                                 locality distance) const;
    /// Returns whether new requests may be sent: usable, past its flap damping, and admitted by the
    /// outlier detector.
    [[nodiscard]] bool admits(replica_index replica, time_point now) const;
    [[nodiscard]] outlier_state outlier(replica_index replica, time_point now) const;
    /// Returns the fraction of its capacity that a replica may use, 0 to 1; below 1 during slow
    /// start.
    [[nodiscard]] double capacity_share(replica_index replica, time_point now) const;
    /// Returns the ratio of observed to predicted first-token time, which decays towards 1.
    [[nodiscard]] double slowness(replica_index replica, time_point now) const;
    /// Returns the mean total time of attempts at the replica or, before its first success, at all
    /// replicas.
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
    /// Number of recent dispatches and ends that are kept to determine which of them a delayed
    /// report includes. Older ones are assumed to be included.
    static constexpr std::size_t attempt_log_size = 64;
    struct attempt_log {
        std::uint64_t next_sequence{0};
        std::uint64_t first_unreported{0}; ///< attempts from here on were sent after the report
        std::uint64_t ends{0};
        std::array<time_point, attempt_log_size> sent{};
        std::array<sequence_time, attempt_log_size> ended{};
        std::array<bool, attempt_log_size> open{};
    };

    replica_index allocate();
    void remove(replica_index replica);
    void restart(replica_index replica);
    void update(replica_index replica, const upstream_spec& spec, time_point now);
    void add_to_groups(replica_index replica);
    void remove_from_groups(replica_index replica);
    void hold_after_refused_connection(replica_index replica, time_point now);
    void end_hold_test(const dispatch_ticket& ticket);
    [[nodiscard]] bool is_held(const replica_view& replica, time_point now) const;
    [[nodiscard]] const group* find_group(std::string_view name, bool service) const;
    [[nodiscard]] locality distance_to(const upstream_spec& spec) const;
    [[nodiscard]] pool_ejections smallest_pool(replica_index replica) const;
    void change_health(replica_index replica, replica_health health, time_point now);
    void record_return(replica_view& replica, time_point now) const;
    void update_statistics(replica_view& replica, const attempt_outcome& outcome, time_point now);
    void record_overtaken(replica_index index, const attempt_outcome& outcome, time_point now);
    void record_slowness(replica_view& replica, double log_ratio, time_point now) const;
    void count_end(const dispatch_ticket& ticket, time_point now);

    pool_settings settings_;
    std::vector<replica_view> replicas_;
    std::vector<replica_load> loads_;
    std::vector<attempt_log> attempts_;
    std::vector<std::vector<version_id>> loaded_; ///< loaded versions, by replica
    bool configured_{false};
    std::vector<replica_index> free_;
    std::unordered_map<upstream_id, replica_index> indexes_;
    std::map<std::string, group, std::less<>> versions_;
    std::map<std::string, group, std::less<>> services_;
    outlier_detector outliers_;
    duration pool_mean_total_{};
};

} // namespace wagtailhitch
