#pragma once

#include "routing/deployment.hpp"
#include "routing/engine_model.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Runs a deployment's VMs, with the production choosers, queues and retry policies, against
// the engine models in virtual time.

namespace wagtailhitch::bench {

struct scenario {
    chooser_settings chooser;
    double requests_per_second{0};
    engine_fault fault{engine_fault::none}; ///< of one engine, from 1/4 to 3/4 of the run
    std::size_t faulty_engine{4};
    std::uint64_t seed{1};
    duration length{120s};
    bool admission{true}; ///< off: everything is dispatched at once
    bool affinity{true};  ///< off: no prefixes are given to the chooser
    /// Gives the route's first-token target to the chooser instead of the chooser's own threshold.
    bool route_target{false};
};

struct run_result {
    std::vector<double> first_token; ///< seconds, of answered requests
    std::vector<double> total;
    double offered{0};
    double answered{0};
    double in_time{0};        ///< answered within the deadline
    double tokens_in_time{0}; ///< generated tokens of those answers
    double failed{0};
    double cost{0}; ///< money, of all work done
    double link_bytes{0};
    double cached_tokens{0};
    double seconds{0};
    std::map<std::string, double> refused; ///< by reason
};

run_result run(const deployment& deployment, const scenario& scenario);

/// Highest rate at which 95% of the requests are answered in time by the default policy.
double capacity_of(const deployment& deployment);

} // namespace wagtailhitch::bench
