#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"

#include <string>

// Sends one HTTP request on a new connection and waits for the response.
//
//   auto reply = cli::exchange({"127.0.0.1:7001", "GET", "/v1/in-force", "", 2s});

namespace wagtailhitch::cli {

struct http_request {
    std::string address; ///< "IP:port"
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty for none
    duration timeout{std::chrono::seconds{5}};
};

struct http_reply {
    unsigned status{0};
    std::string body;
};

/// Errors: log_unavailable (nothing was sent, `not_run`) or upstream_timeout and upstream_failed
/// (`outcome_unknown`: the request may have taken effect).
expected<http_reply> exchange(const http_request& request);

} // namespace wagtailhitch::cli
