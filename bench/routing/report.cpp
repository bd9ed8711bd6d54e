#include "routing/report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace wagtailhitch::bench {

namespace {

constexpr std::uint64_t seeds = 5;

double quantile(std::vector<double>& values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(n));
    return values[n];
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void add_times(std::map<std::string, double>& out, const std::string& name,
               std::vector<double> values)
{
    out[name + "_mean"] += mean(values) / seeds;
    out[name + "_p50"] += quantile(values, 0.5) / seeds;
    out[name + "_p95"] += quantile(values, 0.95) / seeds;
    out[name + "_p99"] += quantile(values, 0.99) / seeds;
}

figures measure(const deployment& place, scenario plan)
{
    figures result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        plan.seed = seed;
        run_result one = run(place, plan);
        add_times(result.values, "first_token", one.first_token);
        add_times(result.values, "total", one.total);
        result.values["goodput"] += one.in_time / one.seconds / seeds;
        result.values["goodput_tokens"] += one.tokens_in_time / one.seconds / seeds;
        result.values["cost_per_answer"] += one.cost / std::max(1.0, one.answered) / seeds;
        result.values["cost_per_1k_tokens_in_time"] +=
            one.cost / std::max(1.0, one.tokens_in_time) * 1000 / seeds;
        result.values["failed_share"] += one.failed / one.offered / seeds;
        result.values["link_bytes"] += one.link_bytes / one.seconds / seeds;
        result.values["cached_tokens"] += one.cached_tokens / std::max(1.0, one.answered) / seeds;
        for (const auto& [reason, count] : one.refused) {
            result.values["refused_" + reason] += count / one.offered / seeds;
        }
    }
    return result;
}

std::string unit_of(const std::string& name)
{
    if (name.starts_with("first_token") || name.starts_with("total")) {
        return "s";
    }
    if (name.starts_with("goodput")) {
        return name == "goodput" ? "1/s" : "tokens/s";
    }
    if (name.starts_with("cost")) {
        return "money";
    }
    if (name == "link_bytes") {
        return "B/s";
    }
    return name == "cached_tokens" ? "tokens" : "share";
}

void print_comparison(const std::string& prefix, const figures& baseline, const figures& current)
{
    std::map<std::string, double> names = baseline.values;
    names.insert(current.values.begin(), current.values.end());
    for (const auto& [name, unused] : names) {
        const auto value = [&, &key = name](const figures& from) {
            const auto it = from.values.find(key);
            return it == from.values.end() ? 0 : it->second;
        };
        const bool more = name.starts_with("goodput") || name == "cached_tokens";
        std::string full = prefix;
        full.append("/").append(name);
        print_line(full, value(baseline), value(current), unit_of(name), more ? "higher" : "lower");
    }
}

scenario plan_of(const deployment& place, double rate)
{
    scenario plan;
    plan.requests_per_second = rate;
    plan.chooser.latency_weight = place.latency_weight;
    plan.chooser.cost_weight = place.cost_weight;
    plan.chooser.link_cost_per_mb = 0.02;
    plan.chooser.region_latency = place.region_latency;
    plan.chooser.sharing_vms = static_cast<std::uint32_t>(place.vm_domains.size());
    return plan;
}

std::string load_name(double load)
{
    return std::to_string(load).substr(0, 3) + "x";
}

std::string name_of_fault(engine_fault fault)
{
    switch (fault) {
    case engine_fault::none:
        return "no_fault";
    case engine_fault::fails_fast:
        return "fails_fast";
    case engine_fault::slow:
        return "slow";
    }
    return {};
}

} // namespace

void print_line(const std::string& name, double baseline, double current, const std::string& unit,
                const std::string& better)
{
    nlohmann::ordered_json line;
    line["name"] = name;
    line["baseline"] = baseline;
    line["current"] = current;
    line["ratio"] = nullptr;
    if (baseline != 0 || current == 0) {
        line["ratio"] = baseline != 0 ? current / baseline : 1;
    }
    line["unit"] = unit;
    line["better"] = better;
    std::cout << line.dump() << "\n";
}

void compare_policies(const deployment& place, double capacity)
{
    for (const double load : {0.5, 0.9, 1.2, 2.0}) {
        for (const auto fault :
             {engine_fault::none, engine_fault::fails_fast, engine_fault::slow}) {
            scenario plan = plan_of(place, capacity * load);
            plan.fault = fault;
            const figures current = measure(place, plan);
            for (const auto policy : {choice_policy::random, choice_policy::round_robin,
                                      choice_policy::least_in_flight, choice_policy::two_choices}) {
                plan.chooser.policy = policy;
                print_comparison(place.name + "/" + load_name(load) + "/" + name_of_fault(fault) +
                                     "/vs_" + std::string{name_of(policy)},
                                 measure(place, plan), current);
            }
        }
    }
}

void compare_overload(const deployment& place, double capacity)
{
    std::map<std::string, double> peaks;
    for (const double load : {0.8, 0.9, 1.0, 1.1, 1.2, 1.5, 2.0, 3.0}) {
        for (const bool admission : {true, false}) {
            scenario plan = plan_of(place, capacity * load);
            plan.admission = admission;
            const figures result = measure(place, plan);
            for (const std::string figure : {"goodput", "goodput_tokens"}) {
                const std::string name = figure + (admission ? "" : "_without_admission");
                const double value = result.values.at(figure);
                peaks[name] = std::max(peaks[name], value);
                print_line(place.name + "/" + load_name(load) + "/" + name + "/vs_peak",
                           peaks[name], value, unit_of(figure), "higher");
            }
        }
    }
}

void compare_settings(const deployment& place, double capacity)
{
    using change = void (*)(scenario&);
    const std::vector<std::pair<std::string, change>> changes{
        {"samples_2", [](scenario& plan) { plan.chooser.samples = 2; }},
        {"samples_3", [](scenario& plan) { plan.chooser.samples = 3; }},
        {"samples_8", [](scenario& plan) { plan.chooser.samples = 8; }},
        {"no_affinity", [](scenario& plan) { plan.affinity = false; }},
        {"affinity_bound_1.5", [](scenario& plan) { plan.chooser.affinity_load_bound = 1.5; }},
        {"affinity_bound_2", [](scenario& plan) { plan.chooser.affinity_load_bound = 2; }},
        {"doubtful_0.5", [](scenario& plan) { plan.chooser.doubtful_match_weight = 0.5; }},
        {"doubtful_1", [](scenario& plan) { plan.chooser.doubtful_match_weight = 1; }},
        {"mirrored_0", [](scenario& plan) { plan.chooser.mirrored_share = 0; }},
        {"mirrored_0.5", [](scenario& plan) { plan.chooser.mirrored_share = 0.5; }},
        {"region_after_0", [](scenario& plan) { plan.chooser.region_after = 0ms; }},
        {"region_after_250ms", [](scenario& plan) { plan.chooser.region_after = 250ms; }},
        {"remote_after_100ms", [](scenario& plan) { plan.chooser.remote_after = 100ms; }},
        {"remote_after_500ms", [](scenario& plan) { plan.chooser.remote_after = 500ms; }},
        {"route_target", [](scenario& plan) { plan.route_target = true; }},
        {"cost_weight_0", [](scenario& plan) { plan.chooser.cost_weight = 0; }},
    };
    for (const double load : {0.5, 0.9, 1.2}) {
        for (const auto fault : {engine_fault::none, engine_fault::slow}) {
            scenario plan = plan_of(place, capacity * load);
            plan.fault = fault;
            const figures unchanged = measure(place, plan);
            for (const auto& [name, apply] : changes) {
                scenario changed = plan;
                apply(changed);
                print_comparison(place.name + "/" + load_name(load) + "/" + name_of_fault(fault) +
                                     "/" + name,
                                 unchanged, measure(place, changed));
            }
        }
    }
}

} // namespace wagtailhitch::bench
