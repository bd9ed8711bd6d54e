#include "standins.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace wagtailhitch::standins;

/// Options with a unit of milliseconds.
void add_milliseconds(CLI::App& app, const std::string& flag, std::chrono::milliseconds& into,
                      const std::string& help)
{
    app.add_option_function<std::int64_t>(
        flag, [&into](const std::int64_t& n) { into = std::chrono::milliseconds{n}; }, help);
}

/// Options of the form VERSION=NUMBER, repeatable.
void add_table(CLI::App& app, const std::string& flag, std::map<std::string, double>& into,
               const std::string& help)
{
    app.add_option_function<std::vector<std::string>>(
        flag,
        [&into, flag](const std::vector<std::string>& items) {
            for (const std::string& it : items) {
                const auto equals = it.find('=');
                if (equals == std::string::npos) {
                    throw CLI::ValidationError{flag, "Expected VERSION=NUMBER, got " + it + "."};
                }
                into[it.substr(0, equals)] = std::stod(it.substr(equals + 1));
            }
        },
        help);
}

void add_log(CLI::App& app, log_settings& settings)
{
    app.add_option("--retain-records", settings.retain_records, "Records kept per stream");
    add_milliseconds(app, "--retain-ms", settings.retain_time, "Time a record is kept");
    app.add_option("--appends-per-second", settings.appends_per_second, "Limit on appends");
}

void add_engine(CLI::App& app, engine_settings& settings)
{
    app.add_option("--name", settings.name, "Name in answers to probes");
    app.add_option("--versions", settings.versions, "Loaded versions")->delimiter(',');
    app.add_option("--slots", settings.slots, "Requests that run at once");
    app.add_option("--prompt-us", settings.prompt_us_per_token, "Microseconds per prompt token");
    app.add_option("--token-us", settings.token_us, "Microseconds per generated token");
    app.add_option("--batch-penalty", settings.batch_penalty, "Step growth per running request");
    app.add_option("--speed", settings.speed, "Rate relative to a standard replica");
    app.add_option("--cache-blocks", settings.cache_blocks, "Prefix cache, blocks of 1 KiB");
    app.add_option("--minimum-tokens", settings.minimum_tokens, "Shortest answer");
    app.add_option("--maximum-tokens", settings.maximum_tokens, "Longest answer");
    app.add_option("--max-waiting", settings.max_waiting, "Maximum number of waiting requests");
    add_milliseconds(app, "--load-lag-ms", settings.load_lag, "Lag of reported load");
    add_milliseconds(app, "--cache-event-lag-ms", settings.cache_event_lag, "Lag of cache events");
    app.add_option("--cache-event-gap", settings.cache_event_gap, "Loses every N-th cache event");
    add_milliseconds(app, "--weights-ms", settings.weights_time, "Time to load a version");
    app.add_flag("--check-fencing", settings.check_fencing, "Refuse old fencing numbers");
    add_table(app, "--confidence", settings.confidence, "Mean confidence, VERSION=NUMBER");
    app.add_option("--low-confidence", settings.low_confidence,
                   "Confidence below which the finish reason is low_confidence");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"wagtailhitch-standin: stand-ins for the platform, for tests and demos"};
    app.require_subcommand(1);
    app.fallthrough();
    listen_options listen;
    app.add_option("--port", listen.port, "Port on 127.0.0.1; 0 lets the kernel choose");
    app.add_option("--port-file", listen.port_file, "File that receives the port");

    log_settings log;
    auto* log_app = app.add_subcommand("log", "Append-only log service");
    add_log(*log_app, log);

    engine_settings engine;
    auto* engine_app = app.add_subcommand("engine", "Model engine replica");
    add_engine(*engine_app, engine);

    service_settings service;
    auto* service_app = app.add_subcommand("service", "Plain service that counts executions");
    service_app->add_option("--name", service.name, "Name in answers");
    add_milliseconds(*service_app, "--service-ms", service.service_time, "Time per call");

    vm_list_settings vm_list;
    auto* vm_list_app = app.add_subcommand("vm-list", "List of live and leaving VMs");
    add_milliseconds(*vm_list_app, "--lag-ms", vm_list.lag, "Time until a change is published");

    weights_settings weights;
    auto* weights_app = app.add_subcommand("weights", "Weight store");
    add_milliseconds(*weights_app, "--fetch-ms", weights.fetch_time, "Time per fetch");
    weights_app->add_option("--max-waiting", weights.max_waiting,
                            "Maximum number of waiting fetches");

    ratings_settings ratings;
    auto* ratings_app = app.add_subcommand("ratings", "Rating service");
    add_table(*ratings_app, "--score", ratings.scores, "Mean score, VERSION=NUMBER");
    add_milliseconds(*ratings_app, "--lag-ms", ratings.lag, "Time until a rating is published");

    CLI11_PARSE(app, argc, argv);
    try {
        if (*log_app) {
            return run_log(listen, log);
        }
        if (*engine_app) {
            return run_engine(listen, engine);
        }
        if (*service_app) {
            return run_service(listen, service);
        }
        if (*vm_list_app) {
            return run_vm_list(listen, vm_list);
        }
        if (*weights_app) {
            return run_weights(listen, weights);
        }
        return run_ratings(listen, ratings);
    }
    catch (const std::exception& e) {
        std::cerr << "The stand-in could not serve: " << e.what() << '\n';
        return 1;
    }
}
