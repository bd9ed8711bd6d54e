#include "proxy/relayed_records.hpp"

#include "base/msgpack.hpp"
#include "proxy/datagram.hpp"

#include <utility>

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::string_view message_name = "relayed records";
constexpr std::string_view message_kind = name_of(datagram_kind::records);
/// Element that holds the epoch; absent in messages of earlier versions.
constexpr std::size_t epoch_index = 6;

} // namespace

std::string encode_relayed_records(const relayed_records& records)
{
    json items = json::array();
    for (const auto& it : records.records) {
        items.push_back(
            {it.key, json::binary({it.value.begin(), it.value.end()}), it.position.offset});
    }
    return encode_msgpack(json::array({message_kind, records.stream, records.complete_from.offset,
                                       records.next.offset, records.snapshot, std::move(items),
                                       to_number(records.next.epoch)}));
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
    out.complete_from.offset = in.number();
    out.next.offset = in.number();
    out.snapshot = in.flag();
    const json& items = in.array();
    out.next.epoch = log_epoch{value->size() > epoch_index ? in.number() : 0};
    out.complete_from.epoch = out.next.epoch;
    for (const auto& item : items) {
        const bool valid_item = item.is_array() && item.size() >= 3 && item[0].is_string() &&
                                item[1].is_binary() && item[2].is_number_unsigned();
        if (!valid_item) {
            valid = false;
            break;
        }
        const auto& bytes = item[1].get_binary();
        out.records.push_back({item[0].get<std::string>(),
                               std::string{bytes.begin(), bytes.end()},
                               {out.next.epoch, item[2].get<log_offset>()}});
    }
    if (!valid || !in.complete()) {
        return tl::unexpected(malformed(step::peer, message_name));
    }
    return out;
}

} // namespace wagtailhitch
