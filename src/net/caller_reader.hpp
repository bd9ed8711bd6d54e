#pragma once

#include "net/caller_server.hpp"
#include "node/messages.hpp"

#include <functional>
#include <string>
#include <string_view>

// Turns a received HTTP request into a caller_request.
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

/// Errors, all not_run: malformed_request, body_too_large (the prompt), unknown_path.
expected<caller_request> read_caller_request(received_request&& received,
                                             const caller_server_settings& settings);

/// Chained hashes of the whole 1 KiB blocks of a prompt; engines publish the same hashes.
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

} // namespace wagtailhitch::detail
