#include "load/client.hpp"
#include "load/plan.hpp"
#include "load/report.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

// Open-loop load generator for one or several VMs. Prints one JSON line for each kind of request
// and one for all of them. Arrivals do not wait for answers, and latencies are measured from the
// planned arrival.
//
//   load --target 127.0.0.1:8080 --token token-bulletins --kind report:1:2000 --kind question:4:200
//        --rate 50 --seconds 10

namespace {

using namespace wagtailhitch::load;

/// MODEL[:SHARE[:PROMPT_BYTES[:MAX_TOKENS]]]
request_kind parse_kind(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream in{text};
    for (std::string part; std::getline(in, part, ':');) {
        parts.push_back(part);
    }
    request_kind out;
    out.model = parts.empty() ? "" : parts[0];
    if (parts.size() > 1) {
        out.share = std::stod(parts[1]);
    }
    if (parts.size() > 2) {
        out.prompt_bytes = std::stoul(parts[2]);
    }
    if (parts.size() > 3) {
        out.max_tokens = static_cast<std::uint32_t>(std::stoul(parts[3]));
    }
    return out;
}

double duration_of(const std::vector<planned_request>& plan, const std::vector<result>& results)
{
    double end = 0;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        const double at = std::chrono::duration<double>(plan[i].at).count();
        end = std::max(end, at + results[i].total_ms / 1000);
    }
    return end;
}

void print_reports(const load_settings& settings, const std::vector<planned_request>& plan,
                   const std::vector<result>& results)
{
    report all;
    std::vector<report> by_kind(settings.kinds.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        all.add(results[i]);
        by_kind[plan[i].kind].add(results[i]);
    }
    const double seconds = duration_of(plan, results);
    for (std::size_t i = 0; i < by_kind.size(); ++i) {
        std::cout << by_kind[i].summary(settings.kinds[i].model, seconds) << '\n';
    }
    std::cout << all.summary("all", seconds) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"load: open-loop load with a fixed seed, bounded in count and time"};
    load_settings settings;
    std::vector<std::string> kinds;
    std::int64_t timeout_ms = settings.timeout.count();
    app.add_option("--target", settings.targets, "IP:port of a VM; repeatable")->required();
    app.add_option("--token", settings.tokens, "Bearer token; repeatable");
    app.add_option("--kind", kinds, "MODEL[:SHARE[:PROMPT_BYTES[:MAX_TOKENS]]]; repeatable")
        ->required();
    app.add_option("--rate", settings.rate, "Mean arrivals per second")->check(CLI::PositiveNumber);
    app.add_option("--seconds", settings.seconds, "Time of the last arrival")
        ->check(CLI::Range(0.1, 600.0));
    app.add_option("--requests", settings.requests, "Maximum number of requests");
    app.add_option("--seed", settings.seed, "Seed of arrivals, kinds and prompts");
    app.add_option("--prefixes", settings.distinct_prefixes, "Distinct leading texts per kind")
        ->check(CLI::PositiveNumber);
    app.add_option("--timeout-ms", timeout_ms, "Timeout on each request");
    app.add_option("--max-open", settings.max_open, "Maximum number of requests in flight");
    app.add_flag("!--whole", settings.stream, "Ask for whole answers instead of streams");
    CLI11_PARSE(app, argc, argv);
    try {
        for (const std::string& it : kinds) {
            settings.kinds.push_back(parse_kind(it));
        }
        settings.timeout = std::chrono::milliseconds{timeout_ms};
        const auto plan = make_plan(settings);
        print_reports(settings, plan, run_plan(settings, plan));
        return 0;
    }
    catch (const std::exception& e) {
        std::cerr << "The load run failed: " << e.what() << '\n';
        return 1;
    }
}
