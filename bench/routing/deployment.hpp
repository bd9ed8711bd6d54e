#pragma once

#include "config/document.hpp"
#include "routing/replica_chooser.hpp"

#include <string>
#include <vector>

// The deployments that the queue model simulates.

namespace wagtailhitch::bench {

struct engine_spec {
    std::string name;
    std::string domain;
    std::string region;
    std::uint32_t slots{8};
    double speed{1};
    std::vector<std::size_t> models; ///< indices into deployment::models
};

struct model_cost {
    std::string name;
    double per_1k_input{0};
    double per_1k_output{0};
    double tokens_per_second{0}; ///< of one stream on an idle standard replica
};

struct request_type {
    std::string name;
    double share{0}; ///< of arrivals
    std::size_t model{0};
    double prompt_tokens{0};
    double answer_tokens{0}; ///< mean; lengths are exponential
    duration deadline{};
    duration first_token_target{};
    request_class kind{request_class::short_request};
    std::size_t prefixes{1}; ///< number of distinct shared prompt prefixes
};

struct deployment {
    std::string name;
    std::vector<std::string> vm_domains;
    std::vector<engine_spec> engines;
    std::vector<model_cost> models;
    std::vector<request_type> types;
    double latency_weight{1};
    double cost_weight{0};
    duration region_latency{};
};

deployment cuenca();
deployment ekwueme();
/// A quarter of one failure domain at the target size: one model on 60 replicas behind 7 VMs.
deployment large_domain();

/// Region of a failure domain.
std::string region_of(const deployment& deployment, const std::string& domain);

} // namespace wagtailhitch::bench
