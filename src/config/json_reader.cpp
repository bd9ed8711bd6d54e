#include "config/json_reader.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <sstream>

namespace wagtailhitch::detail {

namespace {

using nlohmann::json;

constexpr std::size_t max_excerpt_bytes = 60;
constexpr std::size_t max_name_bytes = 64;
// Serialization is recursive, so deeper values would overflow the stack.
constexpr int max_depth = 32;

std::string format_number(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string describe(const number_range& range)
{
    std::string out = range.above_lowest ? "a number greater than " : "a number from ";
    out += format_number(range.lowest);
    if (range.highest == std::numeric_limits<double>::max()) {
        return range.above_lowest ? out : out + " upwards";
    }
    return out + " to " + format_number(range.highest);
}

std::string describe(const count_range& range)
{
    return "a whole number from " + std::to_string(range.lowest) + " to " +
           std::to_string(range.highest);
}

/// Detects repeated keys during parsing, because the parsed value keeps only one of them. Tracks
/// the keys of every object that is still open.
class repeated_key_check {
public:
    repeated_key_check(std::string file, config_errors& errors)
        : file_{std::move(file)}, errors_{errors}
    {
    }

    bool operator()(json::parse_event_t event, const json& parsed)
    {
        if (event == json::parse_event_t::object_start) {
            open_.emplace_back();
        }
        else if (event == json::parse_event_t::object_end) {
            open_.pop_back();
        }
        else if (event == json::parse_event_t::key) {
            check_key(parsed.get<std::string>());
        }
        return true;
    }

private:
    struct open_object {
        std::set<std::string> keys;
        std::string latest;
    };

    void check_key(const std::string& key)
    {
        auto& top = open_.back();
        top.latest = key;
        if (top.keys.insert(key).second) {
            return;
        }
        std::string path;
        for (const auto& object : open_) {
            path = join(path, object.latest);
        }
        errors_.push_back({file_, path, "the name a second time", "each name once"});
    }

    std::string file_;
    config_errors& errors_;
    std::vector<open_object> open_;
};

} // namespace

error_sink::error_sink(std::function<std::string(const std::string&)> file_of)
    : file_of_{std::move(file_of)}
{
}

void error_sink::add(const std::string& path, std::string found, std::string wanted)
{
    errors_.push_back({file_of_(path), path, std::move(found), std::move(wanted)});
}

std::string value_excerpt(const json& value)
{
    auto out = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (out.size() > max_excerpt_bytes) {
        out = out.substr(0, max_excerpt_bytes) + "...";
    }
    return out;
}

std::string join(const std::string& path, std::string_view key)
{
    std::string out = path + "/";
    for (const char c : key) {
        if (c == '~') {
            out += "~0";
        }
        else if (c == '/') {
            out += "~1";
        }
        else {
            out += c;
        }
    }
    return out;
}

std::optional<json> parse_text(const std::string& file, std::string_view text,
                               config_errors& errors)
{
    repeated_key_check repeated{file, errors};
    bool too_deep = false;
    const auto callback = [&](int depth, json::parse_event_t event, json& parsed) {
        too_deep = too_deep || depth > max_depth;
        return !too_deep && repeated(event, parsed);
    };
    try {
        auto out = json::parse(text, callback, true, true);
        if (!too_deep) {
            return out;
        }
        errors.push_back({file, {}, "values nested more than 32 deep", "at most 32 levels"});
        return std::nullopt;
    }
    catch (const json::exception& e) {
        errors.push_back(
            {file, {}, std::string{"text that is not JSON ("} + e.what() + ")", "JSON"});
        return std::nullopt;
    }
}

bool valid_name(std::string_view text)
{
    const auto allowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
               std::string_view{"._-:"}.find(c) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= max_name_bytes && std::ranges::all_of(text, allowed);
}

object_reader::object_reader(const json& value, std::string path, error_sink& sink)
    : value_{value}, path_{std::move(path)}, sink_{sink}, valid_{value.is_object()}
{
    if (!valid_) {
        sink_.add(path_, value_excerpt(value), "an object");
    }
}

const json* object_reader::find(std::string_view key)
{
    known_.emplace(key);
    if (!valid_) {
        return nullptr;
    }
    const auto it = value_.find(key);
    return it == value_.end() ? nullptr : &*it;
}

const json* object_reader::require(std::string_view key, const std::string& wanted)
{
    const auto* found = find(key);
    if (found == nullptr && valid_) {
        fail(key, "nothing", wanted);
    }
    return found;
}

std::string object_reader::to_text(std::string_view key, const json& value,
                                   const std::string& fallback)
{
    if (value.is_string() && !value.get_ref<const std::string&>().empty()) {
        return value.get<std::string>();
    }
    fail(key, value_excerpt(value), "a text that is not empty");
    return fallback;
}

std::string object_reader::text(std::string_view key)
{
    const auto* found = require(key, "a text");
    return found == nullptr ? std::string{} : to_text(key, *found, {});
}

std::string object_reader::text_or(std::string_view key, const std::string& fallback)
{
    const auto* found = find(key);
    return found == nullptr ? fallback : to_text(key, *found, fallback);
}

std::string object_reader::name(std::string_view key)
{
    const auto* found = require(key, "a name");
    if (found == nullptr) {
        return {};
    }
    if (found->is_string() && valid_name(found->get_ref<const std::string&>())) {
        return found->get<std::string>();
    }
    fail(key, value_excerpt(*found), "a name of 1 to 64 letters, digits, '.', '_', '-' or ':'");
    return {};
}

double object_reader::to_number(std::string_view key, const json& value, const number_range& range,
                                double fallback)
{
    if (value.is_number()) {
        const auto number = value.get<double>();
        const bool above = range.above_lowest ? number > range.lowest : number >= range.lowest;
        if (std::isfinite(number) && above && number <= range.highest) {
            return number;
        }
    }
    fail(key, value_excerpt(value), describe(range));
    return fallback;
}

double object_reader::number(std::string_view key, number_range range)
{
    const auto* found = require(key, describe(range));
    return found == nullptr ? 0 : to_number(key, *found, range, 0);
}

double object_reader::number_or(std::string_view key, number_range range, double fallback)
{
    const auto* found = find(key);
    return found == nullptr ? fallback : to_number(key, *found, range, fallback);
}

std::uint64_t object_reader::to_count(std::string_view key, const json& value,
                                      const count_range& range, std::uint64_t fallback)
{
    // Values that are built in code rather than parsed hold non-negative numbers as signed
    // integers.
    const bool whole =
        value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0);
    if (whole) {
        const auto number = value.get<std::uint64_t>();
        if (number >= range.lowest && number <= range.highest) {
            return number;
        }
    }
    fail(key, value_excerpt(value), describe(range));
    return fallback;
}

std::uint64_t object_reader::count(std::string_view key, count_range range)
{
    const auto* found = require(key, describe(range));
    return found == nullptr ? 0 : to_count(key, *found, range, 0);
}

std::uint64_t object_reader::count_or(std::string_view key, count_range range,
                                      std::uint64_t fallback)
{
    const auto* found = find(key);
    return found == nullptr ? fallback : to_count(key, *found, range, fallback);
}

bool object_reader::flag(std::string_view key)
{
    return require(key, "true or false") != nullptr && flag_or(key, false);
}

bool object_reader::flag_or(std::string_view key, bool fallback)
{
    const auto* found = find(key);
    if (found == nullptr) {
        return fallback;
    }
    if (found->is_boolean()) {
        return found->get<bool>();
    }
    fail(key, value_excerpt(*found), "true or false");
    return fallback;
}

void object_reader::each_member(std::string_view key, const member_visitor& visit)
{
    const auto* found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_object()) {
        fail(key, value_excerpt(*found), "an object");
        return;
    }
    const auto path = path_of(key);
    for (const auto& [name, value] : found->items()) {
        if (valid_name(name)) {
            visit(name, value, join(path, name));
        }
        else {
            sink_.add(join(path, name), "the name " + value_excerpt(name),
                      "a name of 1 to 64 letters, digits, '.', '_', '-' or ':'");
        }
    }
}

void object_reader::each_element(std::string_view key, const element_visitor& visit)
{
    const auto* found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        fail(key, value_excerpt(*found), "an array");
        return;
    }
    const auto path = path_of(key);
    for (std::size_t i = 0; i < found->size(); ++i) {
        visit((*found)[i], join(path, std::to_string(i)));
    }
}

void object_reader::fail(std::string_view key, std::string found, std::string wanted)
{
    sink_.add(path_of(key), std::move(found), std::move(wanted));
}

void object_reader::finish()
{
    if (!valid_) {
        return;
    }
    std::string keys;
    for (const auto& key : known_) {
        keys += (keys.empty() ? "\"" : ", \"") + key + "\"";
    }
    for (const auto& [key, value] : value_.items()) {
        if (!known_.contains(key)) {
            fail(key, "an unknown key", "one of " + keys);
        }
    }
}

} // namespace wagtailhitch::detail
