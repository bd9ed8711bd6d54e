#include "net/peer_codec.hpp"

#include "net/json_guard.hpp"

#include <nlohmann/json.hpp>

namespace wagtailhitch::detail {

using json = nlohmann::json;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t frame_fields = 5;
constexpr char msgpack_array_of_five = static_cast<char>(0x90 + frame_fields);

std::size_t length_at(std::string_view bytes)
{
    std::size_t out = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        out = (out << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return out;
}

} // namespace

std::string with_length(std::string_view content)
{
    std::string out;
    out.reserve(length_bytes + content.size());
    for (std::size_t i = 0; i < length_bytes; ++i) {
        const auto shift = 8 * (length_bytes - 1 - i);
        out.push_back(static_cast<char>((content.size() >> shift) & 0xffU));
    }
    out.append(content);
    return out;
}

std::string encode_frame(const process_id& from, std::uint64_t sequence, const std::string& kind,
                         const json& body)
{
    // Writes the array field by field to avoid copying the body into a JSON array.
    std::string content{msgpack_array_of_five};
    const nlohmann::detail::output_adapter<char> out{content};
    json::to_msgpack(from.vm.value, out);
    json::to_msgpack(from.run, out);
    json::to_msgpack(sequence, out);
    json::to_msgpack(kind, out);
    json::to_msgpack(body, out);
    return with_length(content);
}

expected<peer_frame> decode_frame(std::string_view content)
{
    auto value = parse_msgpack(content);
    const bool well_formed = value && value->is_array() && value->size() == frame_fields &&
                             (*value)[0].is_string() && (*value)[1].is_number_unsigned() &&
                             (*value)[2].is_number_unsigned() && (*value)[3].is_string();
    if (!well_formed) {
        return tl::unexpected(error{error_code::malformed_request,
                                    step::peer,
                                    {},
                                    run_state::not_run,
                                    "A frame is not [vm, incarnation, sequence, kind, body].",
                                    {}});
    }
    peer_frame out;
    out.from.vm = vm_id{(*value)[0].get<std::string>()};
    out.from.run = (*value)[1].get<std::uint64_t>();
    out.sequence = (*value)[2].get<std::uint64_t>();
    out.kind = (*value)[3].get<std::string>();
    out.body = std::make_shared<const json>(std::move((*value)[4]));
    return out;
}

bool frame_splitter::feed(std::string_view bytes,
                          const std::function<bool(std::string_view)>& on_frame)
{
    buffer_.append(bytes);
    std::size_t at = 0;
    while (buffer_.size() - at >= length_bytes) {
        const std::size_t n = length_at(std::string_view{buffer_}.substr(at));
        if (n > limit_) {
            return false;
        }
        if (buffer_.size() - at - length_bytes < n) {
            break;
        }
        if (!on_frame(std::string_view{buffer_}.substr(at + length_bytes, n))) {
            return false;
        }
        at += length_bytes + n;
    }
    buffer_.erase(0, at);
    return true;
}

} // namespace wagtailhitch::detail
