#pragma once

#include "node/configuration_control.hpp"
#include "node/core_state.hpp"
#include "node/membership_control.hpp"
#include "node/stream_control.hpp"

// Builds the published state of a VM: readiness, GET /v1/in-force, /v1/status and /v1/models.
// Contains no secrets.

namespace wagtailhitch {

published_state report_state(const core_state& state, const configuration_control& configuration,
                             const membership_control& membership, const stream_control& streams,
                             time_point now);

} // namespace wagtailhitch
