#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "config/document.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Directory of the replicas, built from the announcements that they publish.
//
//   replica_directory directory{{}, region_of};
//   directory.announce(announcement, now);        // a record that the replica wrote
//   directory.withdraw(id, now);                  // the record was removed
//   directory.replace_all(announcements, now);    // after a gap in the stream of records
//   if (directory.tick(now)) { pool.configure(directory.upstreams(), now); }

namespace wagtailhitch {

struct replica_announcement {
    upstream_id id;
    std::string service;
    std::string address; ///< "IP:port"
    failure_domain_id failure_domain;
    std::string software; ///< version of the replica's software
    std::uint32_t slots{1};
    bool leaving{false};
    std::uint64_t started_ms{0}; ///< Unix time of the replica's start; identifies its run
    std::uint64_t sequence{0};   ///< increases with each change within one run
    duration cold_left{};        ///< how much longer the replica is cold, when it wrote the record

    friend bool operator==(const replica_announcement&, const replica_announcement&) = default;
};

/// `withdrawn`: the record was removed. Since it may only have expired, the replica stays in use
/// for a short time if it answers.
enum class replica_presence { present, leaving, withdrawn };

template<>
inline constexpr auto enum_names<replica_presence> = name_table<replica_presence, 3>{{
    {replica_presence::present, "present"},
    {replica_presence::leaving, "leaving"},
    {replica_presence::withdrawn, "withdrawn"},
}};

enum class announcement_effect { none, stale, added, updated, restarted, left };

template<>
inline constexpr auto enum_names<announcement_effect> = name_table<announcement_effect, 6>{{
    {announcement_effect::none, "none"},
    {announcement_effect::stale, "stale"},
    {announcement_effect::added, "added"},
    {announcement_effect::updated, "updated"},
    {announcement_effect::restarted, "restarted"},
    {announcement_effect::left, "left"},
}};

struct directory_settings {
    /// Time for which a withdrawn replica stays in use. Together with the delay of reading it is
    /// shorter than the time after which a replica that left must get no more work.
    duration withdrawn_grace{800ms};
    /// The same time when many records disappear at once. That indicates an outage of the store,
    /// after which live replicas register again within about two seconds.
    duration store_outage_grace{2200ms};
    /// Time for which a run that was marked as leaving or was removed is remembered, also without
    /// its record.
    duration leaving_memory{600s};
    double store_outage_share{
        0.5}; ///< share of replicas withdrawn at once that indicates an outage
};

/// Denotes all software versions of a service while no roll-out is running.
inline constexpr std::string_view any_software = "*";

/// Returns the version ID of a service's software in pools and roll-outs, "service@software".
version_id software_version_id(std::string_view service, std::string_view software);

class replica_directory {
public:
    struct entry {
        replica_announcement announcement;
        replica_presence presence{replica_presence::present};
        time_point expires_at{}; ///< set for withdrawn entries
        time_point cold_until{}; ///< by its records
        time_point started_at{}; ///< when a further run was first seen; not set for the first one
    };

    replica_directory(directory_settings settings, std::map<failure_domain_id, region_id> regions);

    announcement_effect announce(const replica_announcement& record, time_point now);
    /// Handles the removal of the replica's record. Returns true when the replica was in use.
    bool withdraw(const upstream_id& id, time_point now);
    /// Marks the replica's current run as ended. Later records of that run are ignored.
    void retire(const upstream_id& id);
    /// Marks a run of a replica as leaving, as the replica itself says. No record of that run makes
    /// it usable again. Returns false if this was known.
    bool mark_leaving(const upstream_id& id, std::uint64_t started_ms, time_point now);
    /// Runs that were marked as leaving within the last minutes.
    struct leaving_run {
        std::uint64_t started_ms{0};
        time_point marked_at{};
    };
    [[nodiscard]] const std::map<upstream_id, leaving_run>& leaving_runs() const
    {
        return leaving_runs_;
    }
    /// Applies the newest records of all replicas and withdraws known replicas that have none.
    /// Returns the number of the latter.
    std::size_t replace_all(const std::vector<replica_announcement>& announcements, time_point now);
    /// Removes withdrawn replicas that have expired. Returns true when upstreams() has changed
    /// since the last call.
    bool tick(time_point now);

    [[nodiscard]] const entry* find(const upstream_id& id) const;
    [[nodiscard]] const std::map<upstream_id, entry>& entries() const { return entries_; }
    /// Usable replicas. Each has one version, the software_version_id() of its service and
    /// software.
    [[nodiscard]] std::map<upstream_id, upstream_spec> upstreams() const;
    /// Software versions of the service that have a usable replica.
    [[nodiscard]] std::vector<std::string> software_versions_of(std::string_view service) const;
    /// The same, of the replicas that `usable` accepts.
    [[nodiscard]] std::vector<std::string>
    software_versions_of(std::string_view service,
                         const std::function<bool(const replica_announcement&)>& usable) const;
    /// Time at which this VM first received an announcement of the version; time_point{} if it has
    /// received none.
    [[nodiscard]] time_point first_seen(const version_id& version) const;

private:
    struct removed_run {
        std::uint64_t started_ms{0};
        std::uint64_t sequence{0}; ///< of its last announcement
        time_point removed_at{};
    };

    [[nodiscard]] static removed_run removed_run_of(const entry& item, time_point now);
    [[nodiscard]] upstream_spec spec_of(const replica_announcement& announcement) const;

    directory_settings settings_;
    std::map<failure_domain_id, region_id> regions_;
    std::map<upstream_id, entry> entries_;
    std::map<upstream_id, leaving_run> leaving_runs_;
    /// Runs of replicas that were removed, so that a new one and outdated records are recognized.
    std::map<upstream_id, removed_run> removed_runs_;
    std::map<version_id, time_point> first_seen_;
    time_point burst_started_at_{}; ///< start of the current burst of withdrawals
    std::size_t burst_withdrawals_{0};
    bool changed_{false};
};

} // namespace wagtailhitch
