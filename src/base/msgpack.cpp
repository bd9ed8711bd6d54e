#include "base/msgpack.hpp"

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::size_t max_nesting_depth = 16;

// Limits the nesting depth, so that input data cannot overflow the decoder's stack.
class bounded_parser : public nlohmann::detail::json_sax_dom_parser<json> {
public:
    using base = nlohmann::detail::json_sax_dom_parser<json>;
    explicit bounded_parser(json& out) : base(out, false) {}

    bool start_object(std::size_t size)
    {
        return ++depth_ <= max_nesting_depth && base::start_object(size);
    }
    bool end_object()
    {
        --depth_;
        return base::end_object();
    }
    bool start_array(std::size_t size)
    {
        return ++depth_ <= max_nesting_depth && base::start_array(size);
    }
    bool end_array()
    {
        --depth_;
        return base::end_array();
    }

private:
    std::size_t depth_{0};
};

const json& empty_array()
{
    static const json value = json::array();
    return value;
}

} // namespace

error malformed(step at, std::string_view what)
{
    return error{error_code::malformed_request,
                 at,
                 {},
                 run_state::not_run,
                 "The " + std::string{what} + " cannot be decoded.",
                 {}};
}

std::string encode_msgpack(const json& value)
{
    std::string out;
    json::to_msgpack(value, out);
    return out;
}

expected<json> decode_msgpack(std::string_view data, step at, std::string_view what)
{
    json value;
    bounded_parser parser{value};
    const bool read =
        json::sax_parse(data.begin(), data.end(), &parser, json::input_format_t::msgpack);
    if (!read || parser.is_errored()) {
        return tl::unexpected(malformed(at, what));
    }
    return value;
}

field_reader::field_reader(const json& array) : array_{array}
{
    complete_ = array.is_array();
}

const json* field_reader::next()
{
    if (!complete_ || position_ >= array_.size()) {
        complete_ = false;
        return nullptr;
    }
    return &array_[position_++];
}

std::string field_reader::text()
{
    const auto* it = next();
    if (it == nullptr || !it->is_string()) {
        complete_ = false;
        return {};
    }
    return it->get<std::string>();
}

std::uint64_t field_reader::number()
{
    const auto* it = next();
    if (it == nullptr || !it->is_number_unsigned()) {
        complete_ = false;
        return 0;
    }
    return it->get<std::uint64_t>();
}

std::int64_t field_reader::integer()
{
    const auto* it = next();
    if (it == nullptr || !it->is_number_integer()) {
        complete_ = false;
        return 0;
    }
    return it->get<std::int64_t>();
}

bool field_reader::flag()
{
    const auto* it = next();
    if (it == nullptr || !it->is_boolean()) {
        complete_ = false;
        return false;
    }
    return it->get<bool>();
}

const json& field_reader::array()
{
    const auto* it = next();
    if (it == nullptr || !it->is_array()) {
        complete_ = false;
        return empty_array();
    }
    return *it;
}

bool field_reader::present()
{
    if (complete_ && position_ < array_.size() && array_[position_].is_null()) {
        ++position_;
        return false;
    }
    return true;
}

} // namespace wagtailhitch
