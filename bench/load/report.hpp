#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Aggregates the outcomes of the requests of one kind into one JSON object.

namespace wagtailhitch::load {

/// Final result of a request; each request has exactly one.
enum class outcome {
    answered, ///< complete, with its closing event
    refused,  ///< an error status; `code` is the error's code
    broken,   ///< failed after it was sent; `code` names the failure
    not_sent, ///< too many requests were in flight
};

struct result {
    outcome end{outcome::broken};
    std::string code;
    double first_token_ms{0}; ///< from the planned arrival
    double total_ms{0};
    std::size_t answer_bytes{0};
};

class report {
public:
    void add(const result& one);
    /// `seconds`: from the first arrival to the last end.
    [[nodiscard]] nlohmann::json summary(const std::string& name, double seconds) const;

private:
    std::uint64_t sent_{0};
    std::uint64_t not_sent_{0};
    std::map<std::string, std::uint64_t> refused_;
    std::map<std::string, std::uint64_t> broken_;
    std::vector<double> first_token_ms_;
    std::vector<double> total_ms_;
    std::uint64_t answer_bytes_{0};
};

} // namespace wagtailhitch::load
