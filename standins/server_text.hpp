#pragma once

#include "server.hpp"

#include <string>
#include <string_view>

// The text of HTTP/1.1 responses and targets, for the stand-ins' server.

namespace wagtailhitch::standins {

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// `headers`: further header lines, each with its end of line.
std::string whole_response(unsigned status, std::string_view type, std::string_view body,
                           std::string_view headers);
std::string event_stream_head(std::string_view headers);
/// One server-sent event as one transfer chunk.
std::string event_chunk(std::string_view data);

std::string lower_case(std::string_view text);
/// Fills `path` and `query`.
void split_target(std::string_view target, http_request& request);

} // namespace wagtailhitch::standins
