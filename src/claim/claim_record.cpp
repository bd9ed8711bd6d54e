#include "claim/claim_record.hpp"

#include "base/digest.hpp"
#include "base/msgpack.hpp"

#include <algorithm>
#include <cstring>

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::uint64_t claim_tag = 1;
constexpr std::uint64_t outcome_tag = 2;

// Upper bound for the type bytes and integers of one encoded item.
constexpr std::size_t item_overhead = 96;

std::uint64_t read_word(std::string_view raw, std::size_t at)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < sizeof word; ++i) {
        word = (word << 8U) | static_cast<unsigned char>(raw[at + i]);
    }
    return word;
}

// Prefixes each part with its length, so that no two lists of parts produce the same text.
void append_part(std::string& out, std::string_view part)
{
    out += std::to_string(part.size());
    out.push_back(':');
    out.append(part);
}

json to_fields(const claim_record& item)
{
    return json::array({claim_tag, item.key.high, item.key.low, item.request.vm.value,
                        item.request.run, item.request.sequence, item.request_digest,
                        item.claimed_ms});
}

json to_fields(const outcome_record& item)
{
    return json::array({outcome_tag, item.key.high, item.key.low, item.request.vm.value,
                        item.request.run, item.request.sequence,
                        static_cast<std::uint64_t>(item.run),
                        static_cast<std::uint64_t>(item.status), item.content_type, item.payload,
                        item.payload_kept});
}

struct item_head {
    claim_key key;
    request_id request;
};

item_head read_head(field_reader& in)
{
    item_head head;
    head.key.high = in.number();
    head.key.low = in.number();
    head.request.vm = vm_id{in.text()};
    head.request.run = in.number();
    head.request.sequence = in.number();
    return head;
}

std::optional<claim_item> read_claim(field_reader& in)
{
    const auto head = read_head(in);
    const auto digest = in.number();
    const auto claimed = in.integer();
    if (!in.complete()) {
        return std::nullopt;
    }
    return claim_record{head.key, digest, head.request, claimed};
}

std::optional<claim_item> read_outcome(field_reader& in)
{
    const auto head = read_head(in);
    const auto run = in.number();
    const auto status = in.number();
    auto type = in.text();
    auto payload = in.text();
    const auto kept = in.flag();
    if (!in.complete() || run > static_cast<std::uint64_t>(run_state::ran) ||
        payload.size() > outcome_max_bytes) {
        return std::nullopt;
    }
    return outcome_record{head.key,
                          head.request,
                          static_cast<run_state>(run),
                          static_cast<unsigned>(status),
                          std::move(type),
                          std::move(payload),
                          kept};
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

claim_key make_claim_key(const team_id& team, std::string_view idempotency_key)
{
    std::string text;
    append_part(text, team.value);
    append_part(text, idempotency_key);
    const auto raw = sha256(text);
    return {read_word(raw, 0), read_word(raw, 8)};
}

std::uint64_t make_request_digest(std::string_view service, std::string_view call,
                                  std::string_view payload)
{
    std::string text;
    append_part(text, service);
    append_part(text, call);
    append_part(text, payload);
    return read_word(sha256(text), 0);
}

std::optional<std::int64_t> embedded_key_time(std::string_view idempotency_key)
{
    // xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx: the first 48 bits are Unix milliseconds.
    constexpr std::size_t text_size = 36;
    constexpr std::size_t time_digits = 12;
    constexpr std::size_t version_at = 14;
    constexpr std::size_t variant_at = 19;
    if (idempotency_key.size() != text_size || idempotency_key[version_at] != '7') {
        return std::nullopt;
    }
    std::int64_t time = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; i < text_size; ++i) {
        const bool hyphen = i == 8 || i == 13 || i == 18 || i == 23;
        const int value = hex_value(idempotency_key[i]);
        if (hyphen != (idempotency_key[i] == '-') || (!hyphen && value < 0)) {
            return std::nullopt;
        }
        if (!hyphen && digits < time_digits) {
            time = time * 16 + value;
            ++digits;
        }
    }
    const int variant = hex_value(idempotency_key[variant_at]);
    return (variant & 0xc) == 0x8 ? std::optional{time} : std::nullopt;
}

std::size_t encoded_size_bound(const claim_item& item)
{
    if (const auto* outcome = std::get_if<outcome_record>(&item)) {
        return item_overhead + outcome->request.vm.value.size() + outcome->content_type.size() +
               outcome->payload.size();
    }
    return item_overhead + std::get<claim_record>(item).request.vm.value.size();
}

std::string encode_claim_batch(const claim_batch& batch)
{
    auto items = json::array();
    for (const auto& item : batch.items) {
        items.push_back(std::visit([](const auto& it) { return to_fields(it); }, item));
    }
    return encode_msgpack(json::array({batch.id, std::move(items)}));
}

expected<claim_batch> decode_claim_batch(std::string_view data)
{
    const auto value = decode_msgpack(data, step::claim, "claim batch");
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    claim_batch batch;
    batch.id = in.number();
    for (const auto& fields : in.array()) {
        field_reader item{fields};
        const auto tag = item.number();
        if (!item.complete()) {
            return tl::unexpected(malformed(step::claim, "claim batch"));
        }
        if (tag != claim_tag && tag != outcome_tag) {
            continue;
        }
        auto read = tag == claim_tag ? read_claim(item) : read_outcome(item);
        if (!read) {
            return tl::unexpected(malformed(step::claim, "claim batch"));
        }
        batch.items.push_back(std::move(*read));
    }
    if (!in.complete()) {
        return tl::unexpected(malformed(step::claim, "claim batch"));
    }
    return batch;
}

const request_id& request_of(const claim_item& item)
{
    return std::visit([](const auto& it) -> const request_id& { return it.request; }, item);
}

} // namespace wagtailhitch
