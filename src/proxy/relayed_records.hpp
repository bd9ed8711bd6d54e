#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <string>
#include <string_view>
#include <vector>

// Records that one VM has read from a stream of the store and forwards to other VMs. A change thus
// costs one read per failure domain and also reaches VMs that the store refuses.
//
//   std::string data = encode_relayed_records(records);
//   expected<relayed_records> records = decode_relayed_records(data);

namespace wagtailhitch {

struct relayed_record {
    std::string key;
    std::string value; ///< empty: the key was dropped
    log_offset offset{0};

    friend bool operator==(const relayed_record&, const relayed_record&) = default;
};

struct relayed_records {
    std::string stream;
    /// A receiver that has read up to this offset or further can apply these records without a gap.
    log_offset complete_from{0};
    log_offset next{0};   ///< offset at which the next read begins
    bool snapshot{false}; ///< holds the newest record of every key; other keys were dropped
    std::vector<relayed_record> records;

    friend bool operator==(const relayed_records&, const relayed_records&) = default;
};

std::string encode_relayed_records(const relayed_records& records);
/// Errors: malformed_request.
expected<relayed_records> decode_relayed_records(std::string_view data);

} // namespace wagtailhitch
