#include "lease/lease_record.hpp"

#include "base/msgpack.hpp"

namespace wagtailhitch {

std::string encode_lease_record(const lease_record& record)
{
    return encode_msgpack(nlohmann::json::array(
        {static_cast<std::uint64_t>(record.operation), record.duty, record.holder.vm.value,
         record.holder.run, record.applied_up_to, record.fencing, record.nonce}));
}

expected<lease_record> decode_lease_record(std::string_view data)
{
    const auto value = decode_msgpack(data, step::platform, "lease record");
    if (!value) {
        return tl::unexpected(value.error());
    }
    field_reader in{*value};
    lease_record record;
    const auto operation = in.number();
    record.duty = in.text();
    record.holder.vm = vm_id{in.text()};
    record.holder.run = in.number();
    record.applied_up_to = in.number();
    record.fencing = in.number();
    record.nonce = in.number();
    if (!in.complete() || operation > static_cast<std::uint64_t>(lease_operation::release)) {
        return tl::unexpected(malformed(step::platform, "lease record"));
    }
    record.operation = static_cast<lease_operation>(operation);
    return record;
}

} // namespace wagtailhitch
