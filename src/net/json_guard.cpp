#include "net/json_guard.hpp"

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

bool is_within_depth_limit(std::string_view text)
{
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted) {
            if (c == '\\') {
                ++i;
            }
            quoted = c != '"';
            continue;
        }
        if (c == '"') {
            quoted = true;
        }
        else if (c == '{' || c == '[') {
            if (++depth > json_depth_limit) {
                return false;
            }
        }
        else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return true;
}

/// SAX handler that accepts every value and stops parsing at the depth limit.
class depth_check : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= json_depth_limit; }
    bool start_array(std::size_t) override { return ++depth_ <= json_depth_limit; }
    bool end_object() override { return --depth_ < json_depth_limit; }
    bool end_array() override { return --depth_ < json_depth_limit; }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override
    {
        return false;
    }

private:
    std::size_t depth_{0};
};

} // namespace

std::optional<json> parse_json(std::string_view text)
{
    if (!is_within_depth_limit(text)) {
        return std::nullopt;
    }
    json out = json::parse(text, nullptr, false);
    if (out.is_discarded()) {
        return std::nullopt;
    }
    return out;
}

std::optional<json> parse_msgpack(std::string_view bytes)
{
    depth_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack)) {
        return std::nullopt;
    }
    json out = json::from_msgpack(bytes, true, false);
    if (out.is_discarded()) {
        return std::nullopt;
    }
    return out;
}

} // namespace wagtailhitch::detail
