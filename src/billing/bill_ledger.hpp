#pragma once

#include "billing/bill.hpp"

#include <cstdint>
#include <map>

// Totals per team, computed by a reader of the stream `bills`.
//
//   ledger.apply(record.offset, *decode_bill_batch(record.data));
//   ledger.total(team).cost;
//   ledger.balanced();

namespace wagtailhitch {

struct bill_total {
    std::uint64_t answered{0};
    std::uint64_t cancelled{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
    micro_cost cost{0};

    friend bool operator==(const bill_total&, const bill_total&) = default;
};

/// Counts the first record of each request id and drops later ones.
class bill_ledger {
public:
    /// Offsets below next_offset() are ignored.
    void apply(log_offset offset, const std::vector<bill>& bills);

    [[nodiscard]] bill_total total(const team_id& team) const;
    [[nodiscard]] bill_total total() const;
    [[nodiscard]] const std::map<team_id, bill_total>& totals() const { return totals_; }
    [[nodiscard]] bool contains(const request_id& request) const;
    /// Number of distinct request ids.
    [[nodiscard]] std::uint64_t bill_ids() const;
    [[nodiscard]] std::uint64_t duplicates() const { return duplicates_; }
    [[nodiscard]] log_offset next_offset() const { return next_; }
    /// answered + cancelled of all teams equals the number of request ids.
    [[nodiscard]] bool balanced() const;

private:
    // Sequences of one process as ranges [first, last], because they are mostly contiguous.
    using sequence_ranges = std::map<std::uint64_t, std::uint64_t>;

    bool insert(const request_id& request);

    log_offset next_{0};
    std::map<process_id, sequence_ranges> billed_sequences_;
    std::map<team_id, bill_total> totals_;
    std::uint64_t duplicates_{0};
};

} // namespace wagtailhitch
