#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"
#include "config/document.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// The replicas that announce themselves, folded from their announcements.
//
//   replica_directory directory{{}, region_of};
//   directory.announce(announcement, now);        // a record of the replica itself
//   directory.withdraw(id, now);                  // its record was removed
//   directory.replace_all(announcements, now);    // after a gap in the records
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
    std::uint64_t started_ms{0}; ///< Unix time of the replica's start; tells restarts apart
    std::uint64_t sequence{0};   ///< counts up with each change within one run

    friend bool operator==(const replica_announcement&, const replica_announcement&) = default;
};

/// `withdrawn`: the record is gone, which may be a lapse; the replica is used for a short while if
/// it answers.
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
    /// A withdrawn replica is used for so long. With the delay of reading, this stays below the
    /// time within which a replica that left must get no more work.
    duration withdrawn_grace{800ms};
    /// Records of many replicas that vanish together point to an outage of the store, after which
    /// living replicas register again within about two seconds.
    duration lapse_grace{2200ms};
    double lapse_share{0.5}; ///< of the replicas, withdrawn at once, that count as such an outage
};

/// Stands for all software versions of a service, while none is being rolled out.
inline constexpr std::string_view any_software = "*";

/// The version that stands for a service's software in pools and roll-outs.
version_id software_version(std::string_view service, std::string_view software);

class replica_directory {
public:
    struct entry {
        replica_announcement announcement;
        replica_presence presence{replica_presence::present};
        time_point forget_at{}; ///< of withdrawn entries
    };

    replica_directory(directory_settings settings, std::map<failure_domain_id, region_id> regions);

    announcement_effect announce(const replica_announcement& announcement, time_point now);
    /// True when the replica was in use.
    bool withdraw(const upstream_id& id, time_point now);
    /// The replica's present run is known to have ended; later records of that run change nothing.
    void retire(const upstream_id& id);
    /// Takes the newest records of all replicas. Returns how many known ones are missing.
    std::size_t replace_all(const std::vector<replica_announcement>& announcements, time_point now);
    /// Forgets withdrawn replicas whose time is over. True when upstreams() has changed since the
    /// last call.
    bool tick(time_point now);

    [[nodiscard]] const entry* find(const upstream_id& id) const;
    [[nodiscard]] const std::map<upstream_id, entry>& entries() const { return entries_; }
    /// Usable replicas. Each holds one version, software_version() of its service.
    [[nodiscard]] std::map<upstream_id, upstream_spec> upstreams() const;
    /// Software versions of which a usable replica exists.
    [[nodiscard]] std::vector<std::string> software_of(std::string_view service) const;
    /// When a replica of the version was first announced here; the earliest time if never.
    [[nodiscard]] time_point first_seen(const version_id& version) const;

private:
    [[nodiscard]] upstream_spec spec_of(const replica_announcement& announcement) const;

    directory_settings settings_;
    std::map<failure_domain_id, region_id> regions_;
    std::map<upstream_id, entry> entries_;
    std::map<version_id, time_point> first_seen_;
    time_point withdrawn_since_{}; ///< start of the burst of withdrawals that is being counted
    std::size_t withdrawn_count_{0};
    bool changed_{false};
};

} // namespace wagtailhitch
