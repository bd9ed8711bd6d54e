#pragma once

#include "net/caller_server.hpp"
#include "node/messages.hpp"

#include <functional>
#include <string>
#include <string_view>

// Parses a received HTTP request into a caller_request.
//
//   auto request = read_caller_request({method, path, header, body}, settings);

namespace wagtailhitch::detail {

struct received_request {
    std::string_view method;
    std::string_view path; ///< without the query
    /// Value of a header, empty when absent.
    std::function<std::string_view(std::string_view)> header;
    std::string body;
};

/// Errors: malformed_request, body_too_large (prompt too large), unknown_path; all are not_run.
expected<caller_request> read_caller_request(received_request&& received,
                                             const caller_server_settings& settings);

/// Chained hashes of the complete 1 KiB blocks of a prompt; engines publish the same hashes.
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

} // namespace wagtailhitch::detail
