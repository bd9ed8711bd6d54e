#include "billing/bill_ledger.hpp"

#include <iterator>

namespace wagtailhitch {

void bill_ledger::apply(log_offset offset, const std::vector<bill>& bills)
{
    if (offset < next_) {
        return;
    }
    next_ = offset + 1;
    for (const auto& one : bills) {
        if (!insert(one.request)) {
            ++duplicates_;
            continue;
        }
        auto& total = totals_[one.team];
        ++(one.outcome == bill_outcome::answered ? total.answered : total.cancelled);
        for (const auto& line : one.lines) {
            total.prompt_tokens += line.prompt_tokens;
            total.generated_tokens += line.generated_tokens;
            total.cost += line.cost;
        }
    }
}

bill_total bill_ledger::total(const team_id& team) const
{
    const auto it = totals_.find(team);
    return it == totals_.end() ? bill_total{} : it->second;
}

bill_total bill_ledger::total() const
{
    bill_total sum;
    for (const auto& [team, one] : totals_) {
        sum.answered += one.answered;
        sum.cancelled += one.cancelled;
        sum.prompt_tokens += one.prompt_tokens;
        sum.generated_tokens += one.generated_tokens;
        sum.cost += one.cost;
    }
    return sum;
}

bool bill_ledger::contains(const request_id& request) const
{
    const auto process = billed_sequences_.find({request.vm, request.run});
    if (process == billed_sequences_.end()) {
        return false;
    }
    const auto after = process->second.upper_bound(request.sequence);
    return after != process->second.begin() && std::prev(after)->second >= request.sequence;
}

std::uint64_t bill_ledger::bill_ids() const
{
    std::uint64_t count = 0;
    for (const auto& [process, ranges] : billed_sequences_) {
        for (const auto& [first, last] : ranges) {
            count += last - first + 1;
        }
    }
    return count;
}

bool bill_ledger::balanced() const
{
    const auto sum = total();
    return sum.answered + sum.cancelled == bill_ids();
}

bool bill_ledger::insert(const request_id& request)
{
    if (contains(request)) {
        return false;
    }
    auto& ranges = billed_sequences_[{request.vm, request.run}];
    const auto sequence = request.sequence;
    const auto after = ranges.upper_bound(sequence);
    const bool joins_after = after != ranges.end() && after->first == sequence + 1;
    const auto last = joins_after ? after->second : sequence;
    const bool joins_before = after != ranges.begin() && std::prev(after)->second + 1 == sequence;
    if (joins_before) {
        std::prev(after)->second = last;
    }
    else {
        ranges.emplace(sequence, last);
    }
    if (joins_after) {
        ranges.erase(sequence + 1);
    }
    return true;
}

} // namespace wagtailhitch
