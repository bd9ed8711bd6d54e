#pragma once

#include "routing/simulation.hpp"

#include <string>

// Runs comparisons and prints one JSON line for each figure: name, baseline, current, ratio, unit,
// better.

namespace wagtailhitch::bench {

/// Means over the seeds.
struct figures {
    std::map<std::string, double> values;
};

void print_line(const std::string& name, double baseline, double current, const std::string& unit,
                const std::string& better);

/// The default policy against each baseline, by load and fault.
void compare_policies(const deployment& deployment, double capacity);
/// Goodput by load, with and without the admission queue.
void compare_overload(const deployment& deployment, double capacity);
/// The default settings against changes of one setting.
void compare_settings(const deployment& deployment, double capacity);

} // namespace wagtailhitch::bench
