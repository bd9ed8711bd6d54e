#pragma once

#include "net/http_client.hpp"
#include "proxy/relayed_records.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

// Fetches missed records of a stream from another VM, over HTTP/1.1.
//
//   fetch_records(client, peer_address, "replicas", from, [](expected<relayed_records> missed)
//   {...});
//
// The other VM answers the page `records_path(stream, from)`; parse_records_path() reads it.

namespace wagtailhitch {

std::string records_path(std::string_view stream, log_position from);

struct records_query {
    std::string stream;
    log_position from;
};

/// Nullopt when the path belongs to another page.
std::optional<records_query> parse_records_path(std::string_view path);

/// Errors: log_unavailable with the peer's address; malformed_request.
void fetch_records(detail::http_client& client, const std::string& address, std::string_view stream,
                   log_position from, std::function<void(expected<relayed_records>)> done);

} // namespace wagtailhitch
