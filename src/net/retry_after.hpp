#pragma once

#include "base/clock.hpp"

#include <optional>
#include <string_view>

// Reads the Retry-After header of an upstream (RFC 9110, section 10.2.3).
//
//   if (auto wait = parse_retry_after("1.5")) { hold(*wait); }

namespace wagtailhitch::detail {

/// Reads a number of seconds, which may have a fraction; larger values than `longest` are read as
/// `longest`. Returns nothing for negative values, dates and anything else: a date would depend on
/// how far the clocks of the two machines agree.
std::optional<duration> parse_retry_after(std::string_view text, duration longest);

} // namespace wagtailhitch::detail
