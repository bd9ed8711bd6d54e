#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Limits the requests that all VMs together send to a replica that is cold: one that has just
// started and crashes under a rate that it takes once it is warm. VMs agree on nothing: for each
// replica a few of the registered VMs may send, and each of them a few requests a second, so that
// the bound holds by addition whichever VMs are dead, suspended or cut off.
//
//   cold_limiter limiter{{.self = "10.1.0.40:7020"}, now};
//   limiter.set_members({{domain, {"10.1.0.40:7020", ...}}, ...});
//   limiter.note_cold(id, now + 3s);
//   if (limiter.admits({id, domain, 26}, now)) { send = limiter.reserve(id, now); }
//   if (!limiter.confirm(replica, send, now)) { withdraw; }   // right before the first byte

namespace wagtailhitch {

struct cold_limiter_settings {
    std::string self; ///< address of this VM, as registered
    /// Bounds of the number of requests in a second are checked over this time. Longer than a
    /// second because a write takes a moment to leave the VM.
    duration window{1050ms};
    /// After its start a VM sends nothing to cold replicas for this time, since an earlier run of
    /// the VM may have sent requests.
    duration start_delay{1s};
};

/// The VMs that may send to a cold replica, and the most requests of each in a second.
struct cold_quota {
    std::size_t senders{0};
    std::uint32_t requests{0};
};

/// Divides a bound among VMs. `local`: registered VMs of the replica's failure domain; `all`: of
/// all domains. The bound also holds with a few more senders than that, from VMs whose lists
/// differ.
cold_quota divide_cold_bound(std::uint32_t bound, std::size_t local, std::size_t all);

class cold_limiter {
public:
    cold_limiter(cold_limiter_settings settings, time_point started_at);

    struct replica {
        const upstream_id& id;
        const failure_domain_id& domain;
        std::uint32_t bound{0}; ///< requests in a second, from all VMs
    };

    /// Sets the registered VMs by failure domain, with this VM. Until then this VM sends nothing to
    /// cold replicas.
    void set_members(std::map<failure_domain_id, std::vector<std::string>> members);
    void note_cold(const upstream_id& id, time_point until);
    [[nodiscard]] bool is_cold(const upstream_id& id, time_point now) const;
    /// Whether this VM may send a request to a cold replica now.
    [[nodiscard]] bool admits(const replica& target, time_point now) const;
    /// Time until admits() may return true; nothing if this VM is not one of the senders.
    [[nodiscard]] std::optional<duration> until_admitted(const replica& target,
                                                         time_point now) const;
    /// Counts a request that is about to be sent to a replica, cold or not.
    std::uint64_t reserve(const upstream_id& id, time_point now);
    /// Counts the request from now on. For a cold replica, returns false if it may no longer be
    /// sent: the VM was suspended, or the replica has turned cold. The request then no longer
    /// counts.
    bool confirm(const replica& target, bool cold, std::uint64_t send, time_point now);
    /// Forgets what is over.
    void sweep(time_point now);
    [[nodiscard]] std::size_t cold_replicas(time_point now) const;

private:
    struct send {
        std::uint64_t number{0};
        time_point at;
    };
    struct state {
        time_point cold_until{};
        std::deque<send> sends; ///< within the window
    };

    [[nodiscard]] std::uint32_t quota_of(const replica& target) const;
    [[nodiscard]] std::uint32_t compute_quota(const replica& target) const;
    [[nodiscard]] std::size_t sends_within(const upstream_id& id, std::uint64_t except,
                                           time_point now) const;

    cold_limiter_settings settings_;
    time_point started_at_;
    std::map<failure_domain_id, std::vector<std::string>> members_;
    std::size_t member_count_{0};
    std::unordered_map<upstream_id, state> replicas_;
    struct known_quota {
        std::uint32_t bound{0};
        failure_domain_id domain;
        std::uint32_t requests{0};
    };
    /// Quotas of this VM, which depend on the members only.
    mutable std::unordered_map<upstream_id, known_quota> quotas_;
    std::uint64_t next_send_{1};
};

} // namespace wagtailhitch
