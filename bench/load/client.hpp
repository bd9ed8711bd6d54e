#pragma once

#include "load/plan.hpp"
#include "load/report.hpp"

#include <vector>

// Sends a plan and returns one result for each planned request, in the plan's order.

namespace wagtailhitch::load {

/// Ends at the latest after the last arrival plus the timeout. Throws std::invalid_argument when a
/// target is not "IP:port".
std::vector<result> run_plan(const load_settings& settings,
                             const std::vector<planned_request>& plan);

} // namespace wagtailhitch::load
