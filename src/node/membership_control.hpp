#pragma once

#include "node/core_state.hpp"

#include <vector>

// Heartbeats, gossip and the consequences of membership changes.
//
//   membership.on_heartbeat(frame, message, now, out);
//   membership.tick(now, out);

namespace wagtailhitch {

class membership_control {
public:
    explicit membership_control(core_state& state);

    void on_vm_list(const vm_list& list, time_point now);
    void on_heartbeat(const peer_frame& frame, const heartbeat_message& message, time_point now,
                      std::vector<output>& out);
    /// True when the message concerns this incarnation: it must end, and the process goes on under
    /// a new one.
    [[nodiscard]] bool was_removed(const ended_message& message) const;
    /// An upstream has said of itself that it is leaving, or that it wants no requests.
    void on_notice(const upstream_id& upstream, const dispatch_ticket& ticket,
                   const upstream_notice& notice, time_point now);
    void on_probe(const probe_result& result, time_point now);
    void on_cache_events(const cache_events& events);
    void on_configuration(time_point now);
    void tick(time_point now, std::vector<output>& out);
    /// Announces to the failure domain that this VM is leaving.
    void leave(std::vector<output>& out);

    /// Configuration state of another VM, from its last heartbeat.
    struct peer_view {
        process_id process;
        failure_domain_id failure_domain;
        revision in_force{0};
        std::optional<time_point> confirmed_at;
        bool ready{false};
        time_point last_heartbeat_at;
    };
    [[nodiscard]] const std::map<vm_id, peer_view>& peers() const { return peers_; }

private:
    void apply(const std::vector<vm_change>& changes);
    void apply(const std::vector<upstream_change>& changes, time_point now);
    void refresh_topology();
    void update_pool(const upstream_id& id, time_point now);
    [[nodiscard]] heartbeat_message heartbeat(time_point now) const;
    void send_heartbeats(time_point now, std::vector<output>& out);

    core_state& state_;
    std::map<vm_id, peer_view> peers_;
    std::map<vm_id, incarnation>
        sent_full_reports_to_; ///< processes that were sent all upstream reports
    time_point next_heartbeat_;
    time_point next_summary_;
    bool membership_changed_{true};
};

} // namespace wagtailhitch
