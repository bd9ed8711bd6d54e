#include "cli/commands.hpp"
#include "cli/files.hpp"

#include <iostream>
#include <memory>

namespace wagtailhitch::cli {

namespace {

int check(const std::vector<std::string>& paths)
{
    int status = status_ok;
    const auto doc = load_document(paths, status);
    if (!doc) {
        return status;
    }
    std::cout << "valid: " << doc->models.size() << " models, " << doc->teams.size() << " teams, "
              << doc->routes.size() << " routes, " << doc->services.size() << " services, "
              << doc->upstreams.size() << " upstreams, digest " << document_digest(*doc) << '\n';
    return status_ok;
}

} // namespace

void add_check(CLI::App& app, command& chosen)
{
    auto* sub = app.add_subcommand("check", "Check operators' files without submitting them");
    const auto paths = std::make_shared<std::vector<std::string>>();
    sub->add_option("PATH", *paths, "Files, or directories of *.json files")->required();
    sub->callback([paths, &chosen] { chosen = [paths] { return check(*paths); }; });
}

} // namespace wagtailhitch::cli
