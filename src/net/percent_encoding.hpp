#pragma once

#include <string>
#include <string_view>

namespace wagtailhitch::detail {

/// Encodes all characters but the unreserved ones of RFC 3986, so that the text can be a path
/// segment or a value in a query.
std::string percent_encode(std::string_view text);

} // namespace wagtailhitch::detail
