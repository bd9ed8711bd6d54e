#pragma once

#include <tl/expected.hpp>

#include <string>
#include <vector>

// Errors of settings and of operators' files. All errors of an input are collected before it is
// refused, so that one run of `check` shows every mistake.
//
//   for (const config_error& e : result.error()) { std::cerr << to_string(e) << '\n'; }

namespace wagtailhitch {

/// One mistake in a file. `path` is a JSON pointer; it is empty when the file is no JSON at all.
struct config_error {
    std::string file;
    std::string path;
    std::string found;
    std::string wanted;

    friend bool operator==(const config_error&, const config_error&) = default;
};

using config_errors = std::vector<config_error>;

template<typename T> using checked = tl::expected<T, config_errors>;

/// "models.json: /models/narrator/quality: found 1.5, expected a number from 0 to 1".
std::string to_string(const config_error& e);

/// One line for each error.
std::string to_string(const config_errors& errors);

} // namespace wagtailhitch
