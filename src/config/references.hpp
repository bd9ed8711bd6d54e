#pragma once

#include "config/document.hpp"
#include "config/json_reader.hpp"

namespace wagtailhitch::detail {

/// Reports unresolved and ambiguous names. Entries with other errors still count as defined, so
/// that one error is reported only once.
void check_references(const document& doc, error_sink& sink);

} // namespace wagtailhitch::detail
