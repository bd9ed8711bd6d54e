#pragma once

#include "base/names.hpp"
#include "config/config_error.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

// Reads and validates values of JSON objects and collects every error with its file and path. Used
// only for the settings and the operators' document.
//
//   error_sink sink{[](const std::string&) { return "node.json"; }};
//   object_reader top{json, "", sink};
//   std::string vm = top.text("vm");
//   top.finish();                        // reports unknown keys

namespace wagtailhitch::detail {

/// Collects errors; `file_of` returns the file that defines a JSON path.
class error_sink {
public:
    explicit error_sink(std::function<std::string(const std::string&)> file_of);

    void add(const std::string& path, std::string found, std::string wanted);
    [[nodiscard]] const config_errors& errors() const { return errors_; }

private:
    std::function<std::string(const std::string&)> file_of_;
    config_errors errors_;
};

/// Formats a value for an error message, truncated.
std::string value_excerpt(const nlohmann::json& value);

/// Appends a key to a JSON pointer, escaped as in RFC 6901.
std::string join(const std::string& path, std::string_view key);

/// Parses JSON with `//` comments, at most 32 levels deep. Syntax errors and keys that are repeated
/// within one object are added to `errors`; the result is empty after a syntax error.
std::optional<nlohmann::json> parse_text(const std::string& file, std::string_view text,
                                         config_errors& errors);

/// Returns whether a text is a valid name. Names are used in headers and ids, so they may contain
/// only letters, digits and ". _ - :".
bool valid_name(std::string_view text);

struct number_range {
    double lowest{0};
    double highest{std::numeric_limits<double>::max()};
    bool above_lowest{false}; ///< `lowest` itself is excluded
};

struct count_range {
    std::uint64_t lowest{0};
    std::uint64_t highest{std::numeric_limits<std::uint32_t>::max()};
};

class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string path, error_sink& sink);

    /// Returns the member; when it is missing, reports that `wanted` was expected and returns null.
    const nlohmann::json* require(std::string_view key, const std::string& wanted);
    /// Returns the member, or null when it is missing.
    const nlohmann::json* find(std::string_view key);

    std::string text(std::string_view key);
    std::string text_or(std::string_view key, const std::string& fallback);
    /// Reads a required text that satisfies valid_name().
    std::string name(std::string_view key);
    double number(std::string_view key, number_range range);
    double number_or(std::string_view key, number_range range, double fallback);
    std::uint64_t count(std::string_view key, count_range range);
    std::uint64_t count_or(std::string_view key, count_range range, std::uint64_t fallback);
    bool flag(std::string_view key);
    bool flag_or(std::string_view key, bool fallback);

    template<typename Enum> Enum choice(std::string_view key)
    {
        const auto* found = require(key, choices<Enum>());
        return found == nullptr ? Enum{} : parse_choice<Enum>(key, *found, Enum{});
    }

    template<typename Enum> Enum choice_or(std::string_view key, Enum fallback)
    {
        const auto* found = find(key);
        return found == nullptr ? fallback : parse_choice<Enum>(key, *found, fallback);
    }

    /// Calls `visit(name, value, path)` for each member of the object at `key`, if present.
    using member_visitor =
        std::function<void(const std::string&, const nlohmann::json&, const std::string&)>;
    void each_member(std::string_view key, const member_visitor& visit);

    /// Calls `visit(value, path)` for each element of the array at `key`, if present.
    using element_visitor = std::function<void(const nlohmann::json&, const std::string&)>;
    void each_element(std::string_view key, const element_visitor& visit);

    void fail(std::string_view key, std::string found, std::string wanted);
    [[nodiscard]] std::string path_of(std::string_view key) const { return join(path_, key); }
    /// Reports unknown keys: every key that was not read.
    void finish();

private:
    template<typename Enum> static std::string choices()
    {
        std::string out = "one of";
        for (const auto& [value, text] : enum_names<Enum>) {
            out += (out.size() > 6 ? ", \"" : " \"") + std::string{text} + "\"";
        }
        return out;
    }

    template<typename Enum>
    Enum parse_choice(std::string_view key, const nlohmann::json& value, Enum fallback)
    {
        if (value.is_string()) {
            if (auto parsed = parse_name<Enum>(value.get_ref<const std::string&>())) {
                return *parsed;
            }
        }
        fail(key, value_excerpt(value), choices<Enum>());
        return fallback;
    }

    std::string to_text(std::string_view key, const nlohmann::json& value,
                        const std::string& fallback);
    double to_number(std::string_view key, const nlohmann::json& value, const number_range& range,
                     double fallback);
    std::uint64_t to_count(std::string_view key, const nlohmann::json& value,
                           const count_range& range, std::uint64_t fallback);

    const nlohmann::json& value_;
    std::string path_;
    error_sink& sink_;
    bool valid_;
    std::set<std::string, std::less<>> known_;
};

} // namespace wagtailhitch::detail
