#pragma once

#include "base/clock.hpp"
#include "base/ids.hpp"
#include "routing/replica_chooser.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

// Settings of node_core. make_core_settings() in node/runtime fills it from the file.

namespace wagtailhitch {

/// Milliseconds since the Unix epoch. Only ages over hours depend on it; see design 3.5.
using wall_clock_source = std::function<std::int64_t()>;

struct core_settings {
    process_id self;
    std::string peer_address; ///< "IP:port" of the own peer listener
    failure_domain_id failure_domain;
    region_id region;
    std::string cluster_key;                          ///< raw bytes
    std::string session_key;                          ///< raw bytes
    std::map<std::string, std::string> operator_keys; ///< operator -> raw Ed25519 public key
    std::size_t bill_buffer_bytes{std::size_t{32} * 1024 * 1024};
    duration log_retention{std::chrono::hours{24}};
    chooser_settings chooser;
    /// Rate of the paid link that this VM may use; the deployment's 30 Mb/s divided by its VMs.
    double link_bytes_per_second{30e6 / 8 / 8};
    duration default_deadline{60s};
    duration first_byte_timeout{10s};
    duration progress_timeout{5s};
    duration heartbeat_interval{1s};
    duration summary_interval{2s};
    duration report_interval{500ms}; ///< of published_state
    std::uint64_t seed{0};
    wall_clock_source wall_ms;
};

} // namespace wagtailhitch
