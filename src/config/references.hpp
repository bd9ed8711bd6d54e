#pragma once

#include "config/document.hpp"
#include "config/json_reader.hpp"

namespace wagtailhitch::detail {

/// Reports names that do not resolve and names that are ambiguous. Entries with other errors still
/// count as defined, so that one mistake is reported once.
void check_references(const document& doc, error_sink& sink);

} // namespace wagtailhitch::detail
