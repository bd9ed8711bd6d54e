#include "proxy/domain_bills.hpp"

#include "base/msgpack.hpp"

#include <utility>

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::string_view submitted_name = "submitted bills";
constexpr std::string_view stored_name = "stored bills";

} // namespace

std::string encode_submitted_bills(const submitted_bills& bills)
{
    return encode_msgpack(json::array({name_of(datagram_kind::bills), bills.from.vm.value,
                                       bills.from.run, bills.address, bills.id,
                                       json::binary({bills.data.begin(), bills.data.end()})}));
}

expected<submitted_bills> decode_submitted_bills(std::string_view data)
{
    constexpr std::size_t data_index = 5;
    const auto value = decode_msgpack(data, step::peer, submitted_name);
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    submitted_bills out;
    const bool kind = in.text() == name_of(datagram_kind::bills);
    out.from.vm.value = in.text();
    out.from.run = in.number();
    out.address = in.text();
    out.id = in.number();
    if (!kind || !in.complete() || value->size() <= data_index ||
        !(*value)[data_index].is_binary()) {
        return tl::unexpected(malformed(step::peer, submitted_name));
    }
    const auto& bytes = (*value)[data_index].get_binary();
    out.data.assign(bytes.begin(), bytes.end());
    return out;
}

std::string encode_stored_bills(const stored_bills& bills)
{
    return encode_msgpack(json::array(
        {name_of(datagram_kind::stored_bills), bills.owner.vm.value, bills.owner.run, bills.ids}));
}

expected<stored_bills> decode_stored_bills(std::string_view data)
{
    const auto value = decode_msgpack(data, step::peer, stored_name);
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    stored_bills out;
    bool valid = in.text() == name_of(datagram_kind::stored_bills);
    out.owner.vm.value = in.text();
    out.owner.run = in.number();
    for (const json& id : in.array()) {
        if (!id.is_number_unsigned()) {
            valid = false;
            break;
        }
        out.ids.push_back(id.get<std::uint64_t>());
    }
    if (!valid || !in.complete()) {
        return tl::unexpected(malformed(step::peer, stored_name));
    }
    return out;
}

domain_bills::domain_bills(process_id self, std::string address, domain_bill_settings settings)
    : self_{std::move(self)}, address_{std::move(address)}, settings_{settings},
      buffer_{self_, settings.buffer}, writer_{settings.writer}
{
}

void domain_bills::add(const bill& created, time_point now)
{
    buffer_.add(created, now);
}

void domain_bills::begin_stop()
{
    stopping_ = true;
    buffer_.begin_stop();
    writer_.begin_stop();
}

bool domain_bills::bypasses_writer(time_point now) const
{
    return unanswered_since_ && now - *unanswered_since_ >= settings_.bypass_after;
}

std::vector<domain_bill_output> domain_bills::tick(const std::optional<std::string>& writer,
                                                   time_point now)
{
    const bool is_writer = stopping_ || !writer || bypasses_writer(now);
    const std::optional<std::string> to = is_writer ? std::nullopt : writer;
    if (to != submitted_to_) {
        submitted_to_ = to;
        buffer_.retry_appends();
    }
    std::vector<domain_bill_output> out;
    for (auto& step : buffer_.tick(now)) {
        auto* batch = std::get_if<bill_append>(&step);
        if (batch == nullptr) {
            // Releases need no handling: requests here do not wait for copies of their bills.
            continue;
        }
        if (!to) {
            writer_.accept(self_, batch->id, batch->data);
            continue;
        }
        unanswered_since_ = unanswered_since_.value_or(now);
        out.emplace_back(datagram{
            *to, encode_submitted_bills({self_, address_, batch->id, std::move(batch->data)})});
    }
    if (auto append = writer_.due(now, is_writer)) {
        out.emplace_back(std::move(*append));
    }
    return out;
}

std::vector<datagram> domain_bills::on_appended(std::uint64_t id, bool stored, time_point now)
{
    std::map<process_id, std::vector<std::uint64_t>> by_owner;
    for (const auto& done : writer_.on_result(id, stored, now)) {
        if (done.from == self_) {
            mark_stored(done.id, now);
        }
        else {
            by_owner[done.from].push_back(done.id);
        }
    }
    std::vector<datagram> out;
    for (auto& [owner, ids] : by_owner) {
        if (const auto it = owner_addresses_.find(owner.vm); it != owner_addresses_.end()) {
            out.push_back({it->second, encode_stored_bills({owner, std::move(ids)})});
        }
    }
    return out;
}

void domain_bills::on_message(const submitted_bills& bills)
{
    if (writer_.accept(bills.from, bills.id, bills.data)) {
        owner_addresses_[bills.from.vm] = bills.address;
    }
}

void domain_bills::on_message(const stored_bills& bills, time_point now)
{
    if (bills.owner != self_) {
        return;
    }
    for (const auto id : bills.ids) {
        mark_stored(id, now);
    }
}

void domain_bills::mark_stored(std::uint64_t id, time_point now)
{
    unanswered_since_.reset();
    std::vector<bill_output> ignored;
    buffer_.on_append_result(id, true, now, ignored);
}

} // namespace wagtailhitch
