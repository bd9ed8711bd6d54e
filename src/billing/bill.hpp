#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/names.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// The bill of a request, and its encoding in log records and messages.
//
//   bill b{id, team, bill_outcome::answered, {{version, upstream, 120, 40, 250}}};
//   std::string data = encode_bill_batch({encode_bill(b)});
//   expected<std::vector<bill>> bills = decode_bill_batch(data);

namespace wagtailhitch {

inline constexpr std::string_view bills_stream = "bills";

enum class bill_outcome : std::uint8_t { answered, cancelled };

template<>
inline constexpr auto enum_names<bill_outcome> = name_table<bill_outcome, 2>{{
    {bill_outcome::answered, "answered"},
    {bill_outcome::cancelled, "cancelled"},
}};

/// Costs are whole millionths of a money unit, so that totals do not depend on the order of
/// addition.
using micro_cost = std::int64_t;

/// Cost of one attempt, from the version's prices in money units per 1000 tokens, rounded to the
/// nearest millionth.
micro_cost attempt_cost(double per_1k_input, double per_1k_output, std::uint64_t prompt_tokens,
                        std::uint64_t generated_tokens);

/// One attempt (a cascade step, a retry or a hedge).
struct bill_line {
    version_id version;
    upstream_id upstream;
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
    micro_cost cost{0};

    friend bool operator==(const bill_line&, const bill_line&) = default;
};

struct bill {
    request_id request;
    team_id team;
    bill_outcome outcome{bill_outcome::answered};
    std::vector<bill_line> lines;

    friend bool operator==(const bill&, const bill&) = default;
};

micro_cost total_cost(const bill& subject);

/// Encodes one bill as MessagePack: about 60 bytes plus names.
std::string encode_bill(const bill& subject);
/// Errors: malformed_request.
expected<bill> decode_bill(std::string_view data);

/// Encodes several bills as a log record or message body.
std::string encode_bill_batch(const std::vector<std::string>& encoded_bills);
/// Errors: malformed_request.
expected<std::vector<std::string>> split_bill_batch(std::string_view data);
expected<std::vector<bill>> decode_bill_batch(std::string_view data);

} // namespace wagtailhitch
