#include "cli/commands.hpp"
#include "cli/files.hpp"
#include "node/runtime/run_node.hpp"

#include <memory>

namespace wagtailhitch::cli {

void add_serve(CLI::App& app, command& chosen)
{
    auto* sub = app.add_subcommand("serve", "Run one node until SIGTERM");
    const auto path = std::make_shared<std::string>();
    sub->add_option("--settings", *path, "The node's settings file")->required();
    sub->callback([path, &chosen] {
        chosen = [path] {
            int status = status_ok;
            const auto settings = load_settings(*path, status);
            return settings ? run_node(*settings) : status;
        };
    });
}

} // namespace wagtailhitch::cli
