#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

// What the load tool sends and when, fixed by a seed before the first request is sent.
//
//   auto plan = make_plan(settings);   // bounded by settings.requests and settings.seconds

namespace wagtailhitch::load {

/// One kind of request in the mix.
struct request_kind {
    std::string model; ///< the body's `model` field
    double share{1};   ///< relative frequency
    std::size_t prompt_bytes{200};
    std::uint32_t max_tokens{0}; ///< 0: not sent
};

struct load_settings {
    std::vector<std::string> targets; ///< "IP:port", used in turn
    std::vector<std::string> tokens;  ///< bearer tokens, drawn at random; empty: none is sent
    std::vector<request_kind> kinds;
    double rate{10}; ///< mean arrivals per second; intervals are exponential
    double seconds{10};
    std::uint64_t requests{1000};
    std::uint64_t seed{1};
    bool stream{true};
    /// Prompts of one kind share their leading text, so that prefix caches matter.
    std::size_t distinct_prefixes{8};
    std::chrono::milliseconds timeout{30'000}; ///< of one request, from its arrival
    std::size_t max_open{4000};                ///< requests in flight; more arrivals are not sent
};

struct planned_request {
    std::chrono::nanoseconds at{}; ///< since the start
    std::size_t target{0};
    std::size_t kind{0};
    std::string token;
    std::string body;
};

std::vector<planned_request> make_plan(const load_settings& settings);

} // namespace wagtailhitch::load
