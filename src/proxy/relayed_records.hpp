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
    log_position position;

    friend bool operator==(const relayed_record&, const relayed_record&) = default;
};

struct relayed_records {
    std::string stream;
    /// A receiver that has read up to here or further, in the same epoch, can apply these records
    /// without a gap.
    log_position complete_from;
    log_position next;    ///< where the next read begins; all positions are of its epoch
    bool snapshot{false}; ///< holds the newest record of every key; other keys were dropped
    std::vector<relayed_record> records;

    friend bool operator==(const relayed_records&, const relayed_records&) = default;
};

std::string encode_relayed_records(const relayed_records& records);
/// Errors: malformed_request.
expected<relayed_records> decode_relayed_records(std::string_view data);

} // namespace wagtailhitch
