#pragma once

#include <CLI/CLI.hpp>

#include <functional>

// The subcommands of the program. Each adds its options to the application and stores the function
// to run.
//
//   command run;
//   cli::add_check(app, run);
//   CLI11_PARSE(app, argc, argv);
//   return run();

namespace wagtailhitch::cli {

/// Exit statuses. They are part of the operators' interface and are listed in --help.
enum exit_status : int {
    status_ok = 0,
    status_failed = 1,      ///< a local file cannot be read or written, or a node cannot start
    status_invalid = 2,     ///< settings or operators' files have mistakes
    status_rejected = 3,    ///< the submission is rejected and will never take effect
    status_unknown = 4,     ///< the submission's outcome is unknown
    status_unavailable = 5, ///< the log or a VM does not answer; nothing was submitted
};

using command = std::function<int()>;

void add_serve(CLI::App& app, command& chosen);
void add_check(CLI::App& app, command& chosen);
void add_submit(CLI::App& app, command& chosen);
void add_in_force(CLI::App& app, command& chosen);
void add_status(CLI::App& app, command& chosen);
void add_keygen(CLI::App& app, command& chosen);

} // namespace wagtailhitch::cli
