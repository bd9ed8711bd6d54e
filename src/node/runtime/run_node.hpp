#pragma once

// Runs one node until it is asked to stop.
//
//   return run_node(settings);   // the process's exit status

namespace wagtailhitch {

struct node_settings;

/// Returns 0 after a graceful shutdown and 1 when the node could not start.
int run_node(const node_settings& settings);

} // namespace wagtailhitch
