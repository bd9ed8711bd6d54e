#include "proxy/relayed_records.hpp"

#include "base/msgpack.hpp"
#include "proxy/datagram.hpp"

#include <utility>

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::string_view message_name = "relayed records";
constexpr std::string_view message_kind = name_of(datagram_kind::records);

} // namespace

std::string encode_relayed_records(const relayed_records& records)
{
    json items = json::array();
    for (const auto& it : records.records) {
        items.push_back({it.key, json::binary({it.value.begin(), it.value.end()}), it.offset});
    }
    return encode_msgpack(json::array({message_kind, records.stream, records.complete_from,
                                       records.next, records.snapshot, std::move(items)}));
}

expected<relayed_records> decode_relayed_records(std::string_view data)
{
    const auto value = decode_msgpack(data, step::peer, message_name);
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    relayed_records out;
    bool valid = in.text() == message_kind;
    out.stream = in.text();
    out.complete_from = in.number();
    out.next = in.number();
    out.snapshot = in.flag();
    for (const auto& item : in.array()) {
        const bool valid_item = item.is_array() && item.size() >= 3 && item[0].is_string() &&
                                item[1].is_binary() && item[2].is_number_unsigned();
        if (!valid_item) {
            valid = false;
            break;
        }
        const auto& bytes = item[1].get_binary();
        out.records.push_back({item[0].get<std::string>(), std::string{bytes.begin(), bytes.end()},
                               item[2].get<log_offset>()});
    }
    if (!valid || !in.complete()) {
        return tl::unexpected(malformed(step::peer, message_name));
    }
    return out;
}

} // namespace wagtailhitch
