#pragma once

#include "node/core_state.hpp"

#include <functional>
#include <vector>

// Connects the configuration follower to the I/O threads and peers, and activates accepted
// documents.
//
//   configuration_control control{state, [&](time_point now) { pool.configure(...); }};
//   control.on_log(batch, now, out);

namespace wagtailhitch {

class configuration_control {
public:
    /// `on_accepted` runs after the document in force was replaced.
    configuration_control(core_state& state, std::function<void(time_point)> on_accepted);

    void on_log(const log_batch& batch, time_point now, std::vector<output>& out);
    void on_log_failed(time_point now, std::vector<output>& out);
    void on_request(const vm_id& from, const records_request& request, time_point now,
                    std::vector<output>& out);
    void on_records(const vm_id& from, const records_message& message, time_point now,
                    std::vector<output>& out);
    void on_snapshot(const vm_id& from, const snapshot_message& message, time_point now,
                     std::vector<output>& out);
    void tick(time_point now, std::vector<output>& out);

    /// When the revision in force took effect on this VM.
    [[nodiscard]] time_point in_force_since() const { return in_force_since_; }

private:
    void carry_out(config_follower::outputs& steps, time_point now, std::vector<output>& out);
    void count(const config_output& event);
    void activate_document(time_point now);

    core_state& state_;
    std::function<void(time_point)> on_accepted_;
    time_point in_force_since_;
};

} // namespace wagtailhitch
