#include "cli/commands.hpp"
#include "cli/files.hpp"
#include "cli/log_reader.hpp"

#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <thread>

namespace wagtailhitch::cli {

namespace {

struct submit_options {
    std::vector<std::string> paths;
    std::string settings_file;
    std::string key_file;
    std::string submission;
    std::optional<revision> base;
    double wait_seconds{10};
    bool as_json{false};
};

constexpr duration poll_wait = 1s;

std::string random_submission()
{
    std::random_device source;
    std::string raw;
    constexpr int words = 4;
    for (int i = 0; i < words; ++i) {
        const std::uint32_t word = source();
        raw.append(reinterpret_cast<const char*>(&word), sizeof word);
    }
    return to_hex(raw);
}

int report(const change_verdict& verdict, bool as_json)
{
    const std::string reason{verdict.refused ? name_of(*verdict.refused) : "accepted"};
    if (as_json) {
        std::cout << nlohmann::json{{"submission", verdict.submission},
                                    {"accepted", verdict.accepted()},
                                    {"reason", reason},
                                    {"detail", verdict.detail},
                                    {"revision", verdict.at}}
                         .dump()
                  << '\n';
    }
    else if (verdict.accepted()) {
        std::cout << "accepted: submission " << verdict.submission << " is revision " << verdict.at
                  << '\n';
    }
    else {
        std::cout << "rejected: submission " << verdict.submission << ", " << reason << ": "
                  << verdict.detail << " Revision " << verdict.at << " is in force.\n";
    }
    return verdict.accepted() ? status_ok : status_rejected;
}

int report_unknown(const std::string& submission, const std::string& detail)
{
    std::cout << "outcome unknown: " << detail << " Repeat the command with --submission-id "
              << submission << " to learn the outcome.\n";
    return status_unknown;
}

/// Finds the verdict of one submission among a fold's events. Includes verdicts that the fold does
/// not keep because the submission is not signed by a known operator.
class verdict_finder {
public:
    explicit verdict_finder(std::string submission) : submission_{std::move(submission)} {}

    void operator()(const config_output& event)
    {
        std::visit(
            [this](const auto& e) {
                if constexpr (requires { e.verdict; }) {
                    check_verdict(e.verdict);
                }
            },
            event);
    }

    [[nodiscard]] const std::optional<change_verdict>& found() const { return found_; }

private:
    void check_verdict(const change_verdict& verdict)
    {
        if (verdict.submission == submission_ && !found_) {
            found_ = verdict;
        }
    }

    std::string submission_;
    std::optional<change_verdict> found_;
};

/// Reads the log until the submission's verdict is known or the wait time expires.
int await_verdict(const log_reader& log, config_fold& fold, const submit_options& options)
{
    verdict_finder finder{options.submission};
    const auto handler = [&finder](const config_output& event) { finder(event); };
    const auto now = steady_clock_source();
    const auto deadline = now() + std::chrono::duration_cast<duration>(
                                      std::chrono::duration<double>{options.wait_seconds});
    std::string detail = "The submission did not appear in the log in time.";
    while (now() < deadline) {
        const auto left = std::min<duration>(poll_wait, deadline - now());
        if (const auto page = log.read_page(fold, left, handler); !page) {
            detail = page.error().detail;
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
        }
        if (finder.found()) {
            return report(*finder.found(), options.as_json);
        }
    }
    return report_unknown(options.submission, detail);
}

int submit_document(const submit_options& options, const node_settings& settings,
                    const operator_key& key, const document& target)
{
    config_fold_settings fold_settings;
    fold_settings.operator_keys = settings.operator_keys;
    fold_settings.cluster_key = settings.cluster_key;
    config_fold fold{fold_settings};
    const log_reader log{settings.platform.log};
    if (const auto ready = log.catch_up(fold, [](const config_output&) {}); !ready) {
        std::cerr << "The log at " << ready.error().peer << " is unavailable, nothing was "
                  << "submitted: " << ready.error().detail << '\n';
        return status_unavailable;
    }
    if (const auto first = fold.verdict(options.submission)) {
        return report(*first, options.as_json);
    }
    if (options.base && *options.base != fold.current_revision()) {
        return report({options.submission,
                       0,
                       reject_reason::base_outdated,
                       "The files are based on revision " + std::to_string(*options.base) + ".",
                       {},
                       fold.current_revision()},
                      options.as_json);
    }
    const auto change =
        make_change(options.submission, fold.current_revision(), *fold.current(), target, key);
    const auto records = change ? encode_change(*change) : tl::make_unexpected(change.error());
    if (!records) {
        std::cerr << "The change cannot be submitted: " << records.error().detail << '\n';
        return status_failed;
    }
    if (const auto sent = log.append(*records); !sent && sent.error().run == run_state::not_run) {
        std::cerr << "The log at " << sent.error().peer
                  << " refused, nothing was submitted: " << sent.error().detail << '\n';
        return status_unavailable;
    }
    return await_verdict(log, fold, options);
}

int submit(submit_options options)
{
    int status = status_ok;
    const auto target = load_document(options.paths, status);
    const auto settings = load_settings(options.settings_file, status);
    if (!target || !settings) {
        return status;
    }
    const auto key = read_key(options.key_file);
    if (!key) {
        std::cerr << key.error().peer << ": " << key.error().detail << '\n';
        return status_failed;
    }
    if (options.submission.empty()) {
        options.submission = random_submission();
    }
    return submit_document(options, *settings, *key, *target);
}

} // namespace

void add_submit(CLI::App& app, command& chosen)
{
    auto* sub = app.add_subcommand("submit", "Submit operators' files as one atomic change");
    const auto options = std::make_shared<submit_options>();
    sub->add_option("PATH", options->paths, "Files, or directories of *.json files")->required();
    sub->add_option("--settings", options->settings_file,
                    "A node's settings: the log's address and the keys")
        ->required();
    sub->add_option("--key", options->key_file, "The operator's key file, see keygen")->required();
    sub->add_option("--base", options->base,
                    "Reject unless this revision is in force (default: the current one)");
    sub->add_option("--submission-id", options->submission,
                    "Repeat an earlier submission whose outcome is unknown")
        ->check([](const std::string& text) {
            constexpr std::size_t max_length = 64;
            return text.empty() || text.size() > max_length ? "must have 1 to 64 characters"
                                                            : std::string{};
        });
    sub->add_option("--wait", options->wait_seconds, "Seconds to wait for the outcome");
    sub->add_flag("--json", options->as_json, "Print the verdict as JSON");
    sub->callback([options, &chosen] { chosen = [options] { return submit(*options); }; });
}

} // namespace wagtailhitch::cli
