#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Records of the stream `claims`. One log record holds a batch of many claims and outcomes.
//
//   std::string data = encode_claim_batch({id, {claim_record{...}, outcome_record{...}}});
//   expected<claim_batch> batch = decode_claim_batch(data);

namespace wagtailhitch {

inline constexpr std::string_view claims_stream = "claims";

/// SHA-256 of team and idempotency key, truncated to 128 bits. A caller cannot produce a key of
/// another team.
struct claim_key {
    std::uint64_t high{0};
    std::uint64_t low{0};

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

claim_key make_claim_key(const team_id& team, std::string_view idempotency_key);

/// 64 bits of SHA-256 over the parts of a request, for detecting a key reused for another request.
std::uint64_t make_request_digest(std::string_view service, std::string_view call,
                                  std::string_view payload);

/// Returns the creation time embedded in a UUIDv7 key, in Unix milliseconds; nothing for other
/// keys.
std::optional<std::int64_t> embedded_key_time(std::string_view idempotency_key);

struct claim_record {
    claim_key key;
    std::uint64_t request_digest{0};
    request_id request;         ///< the claiming request; its VM and incarnation own the claim
    std::int64_t claimed_ms{0}; ///< Unix milliseconds at the claiming VM, for retention

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// The outcome of a claimed request. `run` is `ran` with an answer, `outcome_unknown`, or
/// `not_run`, which frees the key: its owner did not send the request and never will.
struct outcome_record {
    claim_key key;
    request_id request;
    run_state run{run_state::ran};
    unsigned status{0};
    std::string content_type;
    std::string payload;     ///< empty when `payload_kept` is false
    bool payload_kept{true}; ///< false when the answer is larger than outcome_max_bytes

    friend bool operator==(const outcome_record&, const outcome_record&) = default;
};

/// Answers up to this size are stored with the outcome.
inline constexpr std::size_t outcome_max_bytes = 4096;

using claim_item = std::variant<claim_record, outcome_record>;

struct claim_batch {
    std::uint64_t id{0}; ///< set by the writer; the same in repeats after a lost reply
    std::vector<claim_item> items;

    friend bool operator==(const claim_batch&, const claim_batch&) = default;
};

/// Upper bound of an item's encoded size, for filling batches.
std::size_t encoded_size_bound(const claim_item& item);

std::string encode_claim_batch(const claim_batch& batch);

/// Errors: malformed_request when the data is not a batch. Items of an unknown kind are skipped, so
/// that different versions of wagtailhitch can share the stream.
expected<claim_batch> decode_claim_batch(std::string_view data);

const request_id& request_of(const claim_item& item);

} // namespace wagtailhitch
