#include "cli/commands.hpp"
#include "cli/http_client.hpp"

#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>

namespace wagtailhitch::cli {

namespace {

using nlohmann::json;
using printer = std::function<void(const json&)>;

struct report_options {
    std::vector<std::string> addresses;
    bool all{false};
    bool as_json{false};
};

std::string field_text(const json& object, const char* key)
{
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) {
        return "unknown";
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

void print_revision(const json& vm)
{
    std::cout << field_text(vm, "vm") << " (" << field_text(vm, "failure_domain") << "): revision "
              << field_text(vm, "revision") << ", confirmed " << field_text(vm, "confirmed_age_ms")
              << " ms ago";
}

void print_in_force(const json& body, bool all)
{
    print_revision(body);
    std::cout << ", digest " << field_text(body, "digest")
              << (body.value("cut_off", false) ? ", cut off from the log" : "") << '\n';
    if (!all || !body.contains("peers")) {
        return;
    }
    for (const auto& peer : body.at("peers")) {
        std::cout << "  ";
        print_revision(peer);
        std::cout << ", heard " << field_text(peer, "heard_age_ms") << " ms ago"
                  << (peer.value("ready", true) ? "" : ", not ready") << '\n';
    }
}

expected<json> get(const std::string& address, const std::string& target)
{
    constexpr duration reply_timeout = 3s;
    const auto reply = exchange({address, "GET", target, "", reply_timeout});
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    auto body = json::parse(reply->body, nullptr, false);
    if (reply->status != 200 || !body.is_object()) {
        return tl::unexpected(
            error{error_code::upstream_failed,
                  step::peer,
                  address,
                  run_state::not_run,
                  "The VM answered with status " + std::to_string(reply->status) + ".",
                  {}});
    }
    return body;
}

/// Prints the answer of each VM. Returns status_unavailable unless all of them answered.
int report(const report_options& options, const std::string& target, const printer& print)
{
    int status = status_ok;
    json answers = json::object();
    for (const auto& address : options.addresses) {
        const auto body = get(address, target);
        if (!body) {
            std::cerr << address << ": no answer: " << body.error().detail << '\n';
            status = status_unavailable;
            continue;
        }
        answers[address] = *body;
        if (!options.as_json) {
            print(*body);
        }
    }
    if (options.as_json) {
        std::cout << answers.dump(2) << '\n';
    }
    return status;
}

std::shared_ptr<report_options> add_options(CLI::App& sub)
{
    auto options = std::make_shared<report_options>();
    sub.add_option("--address", options->addresses,
                   "A VM's caller address IP:port; may be repeated")
        ->required();
    sub.add_flag("--json", options->as_json, "Print the VMs' answers as JSON, by address");
    return options;
}

} // namespace

void add_in_force(CLI::App& app, command& chosen)
{
    auto* sub = app.add_subcommand("in-force", "Show the revision in force on VMs");
    const auto options = add_options(*sub);
    sub->add_flag("--all", options->all,
                  "Also show every VM from which the given VMs have received heartbeats");
    sub->callback([options, &chosen] {
        chosen = [options] {
            return report(*options, "/v1/in-force",
                          [options](const json& body) { print_in_force(body, options->all); });
        };
    });
}

void add_status(CLI::App& app, command& chosen)
{
    auto* sub = app.add_subcommand("status", "Show the state of VMs");
    const auto options = add_options(*sub);
    sub->callback([options, &chosen] {
        chosen = [options] {
            return report(*options, "/v1/status",
                          [](const json& body) { std::cout << body.dump(2) << '\n'; });
        };
    });
}

} // namespace wagtailhitch::cli
