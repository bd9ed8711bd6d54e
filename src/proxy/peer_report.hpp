#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "calibration/engine_calibration.hpp"
#include "proxy/service_rollout.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "rollout/evidence.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Reports that VMs exchange several times a second. A VM reports its own state to the VMs of its
// failure domain; one VM of each domain sends the totals of its domain, a digest, to the other
// domains. Each report carries the full state, so lost and reordered reports do no harm.
//
//   std::string data = encode_peer_report(report);
//   expected<peer_report> report = decode_peer_report(data);

namespace wagtailhitch {

/// Record streams of the store that every VM follows.
enum class followed_stream { operators, replicas };

template<>
inline constexpr auto enum_names<followed_stream> = name_table<followed_stream, 2>{{
    {followed_stream::operators, "operators"},
    {followed_stream::replicas, "replicas"},
}};

struct reported_load {
    upstream_id upstream;
    std::uint32_t in_flight{0}; ///< requests of the reporting VM, or of its domain in a digest

    friend bool operator==(const reported_load&, const reported_load&) = default;
};

struct reported_rollout {
    rollout_order order;
    duration age{}; ///< since the reporting VM received the order
    rollout_state state{rollout_state::running};
    std::optional<rollout_state> published; ///< last state known to be in the store
    std::string reason;

    friend bool operator==(const reported_rollout&, const reported_rollout&) = default;
};

/// Cumulative counts of one group of requests at one software version.
struct reported_evidence {
    version_id group;
    version_counts counts;

    friend bool operator==(const reported_evidence&, const reported_evidence&) = default;
};

/// Interval between the events of the fastest streams of a service's established software. Reported
/// while a roll-out of the service is running.
struct reported_pace {
    std::string service;
    duration fastest_interval{};

    friend bool operator==(const reported_pace&, const reported_pace&) = default;
};

/// A run of a replica that has said in an answer that it is about to stop.
struct reported_leaving {
    upstream_id upstream;
    std::uint64_t started_ms{0};

    friend bool operator==(const reported_leaving&, const reported_leaving&) = default;
};

/// A replica to which a connection failed. It may start again under the same id, and is then cold
/// before its record tells so.
struct reported_unreachable {
    upstream_id upstream;
    duration age{}; ///< since the latest failure

    friend bool operator==(const reported_unreachable&, const reported_unreachable&) = default;
};

/// Acknowledges the newest report that the sender has accepted from another VM. It tells that VM
/// that the acknowledging report was made after the acknowledged one.
struct received_report {
    process_id from;
    std::uint64_t sequence{0};

    friend bool operator==(const received_report&, const received_report&) = default;
};

/// A session that a roll-out would expose to the new version, and the software that served it last.
/// Other VMs need it because the session's next request may reach any of them.
struct reported_session {
    std::uint64_t session{0}; ///< hash of the session name given by the caller
    std::string software;
    duration age{}; ///< since its last request

    friend bool operator==(const reported_session&, const reported_session&) = default;
};

enum class report_scope { vm, domain };

template<>
inline constexpr auto enum_names<report_scope> = name_table<report_scope, 2>{{
    {report_scope::vm, "vm"},
    {report_scope::domain, "domain"},
}};

struct peer_report {
    report_scope scope{report_scope::vm};
    process_id from;
    failure_domain_id domain; ///< of the sender
    std::uint32_t members{1}; ///< VMs that a digest covers, live or not
    bool relayed{false};      ///< forwarded by a VM of the receiver's domain
    std::string address;      ///< "IP:port" at which the VM receives reports
    std::uint64_t sequence{0};
    revision configuration{0};
    /// Position of the last change read from the operators' records.
    log_position position;
    duration confirmed_age{}; ///< since the start of the last read that confirmed it
    /// Position of the last change read from the replicas' records.
    log_position replica_position;
    duration replica_age{}; ///< since the start of the last read that confirmed it
    bool leaving{false};
    std::vector<received_report> received;
    std::vector<reported_load> loads;
    std::vector<reported_rollout> rollouts;
    std::vector<reported_evidence> evidence;
    std::vector<reported_session> sessions;
    /// Contained in about one report a second; an empty list changes nothing.
    std::vector<reported_calibration> calibration;
    std::vector<wagtailhitch::part_evidence> part_evidence;
    std::vector<quarantined_part> quarantined;
    std::vector<reported_pace> paces;
    std::vector<reported_leaving> leaving_replicas;
    std::vector<reported_unreachable> unreachable_replicas;
    /// Of roll-outs that were followed by another order.
    std::vector<rollout_outcome> outcomes;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

std::string encode_peer_report(const peer_report& report);
/// Errors: malformed_request.
expected<peer_report> decode_peer_report(std::string_view data);

} // namespace wagtailhitch
