#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// Records of the stream `leases`, one lease operation each.
//
//   std::string data = encode_lease_record({lease_operation::acquire, "rollout", self, 42, 0, 1});

namespace wagtailhitch {

inline constexpr std::string_view leases_stream = "leases";

enum class lease_operation : std::uint8_t { acquire, renew, release };

template<>
inline constexpr auto enum_names<lease_operation> = name_table<lease_operation, 3>{{
    {lease_operation::acquire, "acquire"},
    {lease_operation::renew, "renew"},
    {lease_operation::release, "release"},
}};

/// The offset of the accepted acquire + 1, so it increases with every change of holder. 0 is none.
using fencing_number = std::uint64_t;

struct lease_record {
    lease_operation operation{lease_operation::acquire};
    std::string duty;
    process_id holder;
    /// The writer had applied every record of the stream below this offset. Used for
    /// compare-and-swap in place of the offset of the duty's latest record that the writer knew:
    /// both accept the same records, but this one can also be checked by a table that started after
    /// that record had expired.
    log_offset applied_up_to{0};
    fencing_number fencing{0}; ///< renew and release: the number of the lease
    std::uint64_t nonce{0};    ///< distinguishes the records of one process

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

std::string encode_lease_record(const lease_record& record);
/// Errors: malformed_request.
expected<lease_record> decode_lease_record(std::string_view data);

} // namespace wagtailhitch
