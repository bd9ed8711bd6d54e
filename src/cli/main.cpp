#include "cli/commands.hpp"
#include "platform/command.hpp"

#include <csignal>
#include <exception>
#include <iostream>
#include <string_view>

namespace {

constexpr const char* exit_status_help =
    "Exit status: 0 done (submit: accepted); 1 a local file or the node failed; 2 mistakes in "
    "settings or operators' files; 3 submission rejected; 4 outcome of the submission unknown; "
    "5 the log or a VM does not answer (submit: nothing was submitted); 100 or more: wrong "
    "command line.";

/// SIGHUP makes a VM of the platform reload its configuration. It must not terminate the process
/// before its handler is installed.
void ignore_reloads_until_handled(int argc, char** argv)
{
    if (argc > 1 && std::string_view{argv[1]} == wagtailhitch::platform::serve_command) {
        std::signal(SIGHUP, SIG_IGN);
    }
}

} // namespace

int main(int argc, char** argv)
{
    using namespace wagtailhitch::cli;
    ignore_reloads_until_handled(argc, argv);
    CLI::App app{"wagtailhitch: a model-aware router for versions and cascades"};
    app.footer(exit_status_help);
    app.require_subcommand(1);
    command chosen;
    add_serve(app, chosen);
    wagtailhitch::platform::add_serve_platform(app, chosen);
    add_check(app, chosen);
    add_submit(app, chosen);
    add_in_force(app, chosen);
    add_status(app, chosen);
    add_keygen(app, chosen);
    CLI11_PARSE(app, argc, argv);
    try {
        return chosen();
    }
    catch (const std::exception& e) {
        std::cerr << "wagtailhitch: " << e.what() << '\n';
        return status_failed;
    }
}
