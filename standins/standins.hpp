#pragma once

#include "base/clock.hpp"
#include "server.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The stand-ins that the program can run. Each function serves until SIGTERM.

namespace wagtailhitch::standins {

struct log_settings {
    std::uint64_t retain_records{1'000'000}; ///< per stream
    std::chrono::milliseconds retain_time{std::chrono::hours{24}};
    std::uint64_t appends_per_second{500};
};

struct engine_settings {
    std::string name{"engine"};
    std::vector<std::string> versions;
    std::uint32_t slots{8};
    double prompt_us_per_token{50}; ///< prompt tokens that are not cached
    double token_us{5000};          ///< one generated token for each running request
    /// Growth of the step time with each further running request, as a share of token_us.
    double batch_penalty{0.05};
    double speed{1};
    std::uint64_t cache_blocks{256}; ///< 1 KiB blocks of prompt text
    std::uint32_t minimum_tokens{8};
    std::uint32_t maximum_tokens{64};
    std::uint32_t max_waiting{1000};
    std::chrono::milliseconds load_lag{500};
    std::chrono::milliseconds cache_event_lag{1000};
    std::uint64_t cache_event_gap{50}; ///< every N-th event is never published; 0: none is lost
    std::chrono::milliseconds weights_time{1000}; ///< to load a version
    bool check_fencing{false};
    std::map<std::string, double> confidence; ///< mean by version, 0.9 when not listed
    double low_confidence{0.3};               ///< below it the finish reason is low_confidence
};

struct service_settings {
    std::string name{"service"};
    std::chrono::milliseconds service_time{5};
};

struct vm_list_settings {
    std::chrono::milliseconds lag{2000};
};

struct weights_settings {
    std::chrono::milliseconds fetch_time{500}; ///< one fetch at a time
    std::uint64_t max_waiting{4};
};

struct ratings_settings {
    std::map<std::string, double> scores; ///< mean by version, 0.9 when not listed
    std::chrono::milliseconds lag{1000};
};

int run_log(const listen_options& listen, const log_settings& settings);
int run_engine(const listen_options& listen, const engine_settings& settings);
int run_service(const listen_options& listen, const service_settings& settings);
int run_vm_list(const listen_options& listen, const vm_list_settings& settings);
int run_weights(const listen_options& listen, const weights_settings& settings);
int run_ratings(const listen_options& listen, const ratings_settings& settings);

} // namespace wagtailhitch::standins
