#pragma once

#include <tl/expected.hpp>

#include <string>
#include <vector>

// Errors in settings and in operators' files. Parsing collects all errors of an input before it
// rejects the input, so that one run of `check` reports every error.
//
//   for (const config_error& e : result.error()) { std::cerr << to_string(e) << '\n'; }

namespace wagtailhitch {

/// One error in a file. `path` is a JSON pointer; it is empty when the file is not valid JSON.
struct config_error {
    std::string file;
    std::string path;
    std::string found;
    std::string wanted;

    friend bool operator==(const config_error&, const config_error&) = default;
};

using config_errors = std::vector<config_error>;

template<typename T> using checked = tl::expected<T, config_errors>;

/// Formats one error, for example:
/// "models.json: /models/narrator/quality: found 1.5, expected a number from 0 to 1".
std::string to_string(const config_error& e);

/// Formats one line per error.
std::string to_string(const config_errors& errors);

} // namespace wagtailhitch
