#pragma once

#include "base/digest.hpp"
#include "base/error.hpp"
#include "config/parse.hpp"
#include "config/settings.hpp"

#include <optional>
#include <string>
#include <vector>

// Reads files given on the command line.

namespace wagtailhitch::cli {

/// Errors: internal, with the path and the system's reason.
expected<std::string> read_file(const std::string& path);

/// Reads the files at the paths; a directory stands for its `*.json` files in order of name.
expected<std::vector<config_file>> read_files(const std::vector<std::string>& paths);

/// Reads and validates; on failure prints the errors to standard error and sets `status`.
std::optional<node_settings> load_settings(const std::string& path, int& status);
std::optional<document> load_document(const std::vector<std::string>& paths, int& status);

/// Formats a key pair as the content of a key file of `keygen`.
std::string format_key(const operator_key& key);
/// Errors: config_invalid.
expected<operator_key> read_key(const std::string& path);

} // namespace wagtailhitch::cli
