#include "claim/claim_table.hpp"

#include <algorithm>
#include <limits>

namespace wagtailhitch {

namespace {

constexpr std::int64_t ms_per_s = 1000;

// Number of gone incarnations that are remembered, because their claims may reach the stream late.
// At the target size about 250 VMs are replaced per day.
constexpr std::size_t maximum_gone = 1024;

// Memory of a kept answer besides its text: map node, string headers and allocation.
constexpr std::size_t outcome_overhead = 160;

std::size_t kept_bytes(std::string_view content_type, std::string_view payload)
{
    return outcome_overhead + content_type.size() + payload.size();
}

std::uint32_t to_seconds(std::int64_t ms)
{
    const auto limit = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms / ms_per_s, 0, limit));
}

} // namespace

claim_table::claim_table(claim_table_settings settings) : settings_{settings} {}

void claim_table::start(log_offset oldest, std::int64_t wall_ms)
{
    next_ = oldest;
    if (oldest > 0) {
        begin_gap(wall_ms);
    }
}

void claim_table::gap(log_offset oldest, std::int64_t wall_ms)
{
    if (oldest > next_) {
        next_ = oldest;
        begin_gap(wall_ms);
    }
}

// Until the first claim after the gap shows when the gap ended, any claim made up to now may have
// been in the gap.
void claim_table::begin_gap(std::int64_t wall_ms)
{
    if (!minimum_horizon_before_gap_ms_) {
        minimum_horizon_before_gap_ms_ = minimum_horizon_ms_;
    }
    minimum_horizon_ms_ = std::max(minimum_horizon_ms_, wall_ms + settings_.clock_skew_ms);
}

std::vector<claim_event> claim_table::apply(log_offset offset, const claim_batch& batch,
                                            std::int64_t wall_ms)
{
    std::vector<claim_event> events;
    if (offset < next_) {
        return events;
    }
    next_ = offset + 1;
    for (const auto& item : batch.items) {
        const auto* claim = std::get_if<claim_record>(&item);
        auto event = claim != nullptr ? apply_claim(*claim, wall_ms)
                                      : apply_outcome(std::get<outcome_record>(item));
        if (event) {
            events.push_back(std::move(*event));
        }
    }
    return events;
}

std::optional<claim_event> claim_table::apply_claim(const claim_record& claim, std::int64_t wall_ms)
{
    if (minimum_horizon_before_gap_ms_) {
        const auto end_of_gap = claim.claimed_ms + settings_.clock_skew_ms;
        minimum_horizon_ms_ =
            std::max(*minimum_horizon_before_gap_ms_, std::min(minimum_horizon_ms_, end_of_gap));
        minimum_horizon_before_gap_ms_.reset();
    }
    const auto number = lookup(claim.key);
    if (!number) {
        insert(claim, wall_ms);
        return claim_event{claim_event_kind::won, claim.key, claim.request};
    }
    if (owner_of(at(*number)) == claim.request) {
        return std::nullopt;
    }
    return claim_event{claim_event_kind::lost, claim.key, claim.request};
}

std::optional<claim_event> claim_table::apply_outcome(const outcome_record& outcome)
{
    const auto number = lookup(outcome.key);
    if (!number || owner_of(at(*number)) != outcome.request ||
        at(*number).state == entry_state::finished) {
        return std::nullopt;
    }
    if (outcome.run == run_state::not_run) {
        free_claim(*number);
        return claim_event{claim_event_kind::freed, outcome.key, outcome.request};
    }
    auto& claim = at(*number);
    if (outcome.run == run_state::outcome_unknown) {
        claim.state = entry_state::unknown;
    }
    else {
        claim.state = entry_state::finished;
        claim.status = static_cast<std::uint16_t>(outcome.status);
        keep_outcome(*number, outcome);
    }
    return claim_event{claim_event_kind::outcome, outcome.key, outcome.request};
}

void claim_table::on_process_ended(const process_id& gone)
{
    if (std::find(gone_.begin(), gone_.end(), gone) == gone_.end()) {
        gone_.push_back(gone);
    }
    if (gone_.size() > maximum_gone) {
        gone_.pop_front();
    }
    const auto it = process_numbers_.find(gone);
    if (it != process_numbers_.end()) {
        processes_[it->second].gone = true;
    }
}

void claim_table::expire(std::int64_t wall_ms)
{
    const auto keep_from = wall_ms - settings_.retention_ms - settings_.clock_skew_ms;
    minimum_horizon_ms_ = std::max(minimum_horizon_ms_, wall_ms - settings_.retention_ms);
    while (!entries_.empty() &&
           static_cast<std::int64_t>(entries_.front().claimed_s) * ms_per_s < keep_from) {
        pop_oldest();
    }
}

claim_state claim_table::find(const claim_key& key) const
{
    const auto number = lookup(key);
    if (!number) {
        return {};
    }
    const auto& claim = at(*number);
    claim_state state;
    state.request_digest = claim.request_digest;
    state.owner = owner_of(claim);
    if (claim.state == entry_state::finished) {
        state.phase = claim_phase::finished;
        state.outcome.status = claim.status;
    }
    else if (claim.state == entry_state::unknown || processes_[claim.process].gone) {
        state.phase = claim_phase::unknown;
    }
    else {
        state.phase = claim_phase::running;
    }
    const auto it = outcomes_.find(claim.outcome);
    if (claim.outcome != 0 && it != outcomes_.end()) {
        state.outcome.payload_kept = true;
        state.outcome.content_type = it->second.content_type;
        state.outcome.payload = it->second.payload;
    }
    return state;
}

std::int64_t claim_table::horizon_ms(std::int64_t wall_ms) const
{
    return std::max(minimum_horizon_ms_, wall_ms - settings_.retention_ms);
}

std::size_t claim_table::claim_memory_bytes() const
{
    return entries_.size() * sizeof(entry) + index_.memory_bytes() +
           processes_.size() * (sizeof(owner_process) + sizeof(process_id));
}

std::optional<std::uint32_t> claim_table::lookup(const claim_key& key) const
{
    return index_.find(key.low, [&](std::uint32_t number) { return at(number).key == key; });
}

request_id claim_table::owner_of(const entry& claim) const
{
    const auto& process = processes_[claim.process].id;
    return {process.vm, process.run, claim.sequence};
}

void claim_table::insert(const claim_record& claim, std::int64_t wall_ms)
{
    auto number = first_ + static_cast<std::uint32_t>(entries_.size());
    if (number == detail::claim_index::reserved_number) {
        entries_.push_back(placeholder());
        ++number;
    }
    entry added;
    added.key = claim.key;
    added.request_digest = claim.request_digest;
    added.sequence = claim.request.sequence;
    added.process = intern({claim.request.vm, claim.request.run});
    // Entries expire from the front, in log order: one dated in the past expires after those before
    // it, and one dated in the future must not delay those after it.
    added.claimed_s = to_seconds(std::min(claim.claimed_ms, wall_ms));
    entries_.push_back(added);
    index_.insert(claim.key.low, number, [this](std::uint32_t it) { return at(it).key.low; });
    ++live_;
}

// Returns an entry to occupy the one number that the index cannot store.
claim_table::entry claim_table::placeholder() const
{
    entry empty;
    empty.state = entry_state::tombstone;
    empty.claimed_s = entries_.empty() ? 0 : entries_.back().claimed_s;
    return empty;
}

// Removes the claim from the index. The entry stays as a tombstone until it is the oldest.
void claim_table::free_claim(std::uint32_t number)
{
    auto& claim = at(number);
    index_.erase(claim.key.low, number, [this](std::uint32_t it) { return at(it).key.low; });
    claim.state = entry_state::tombstone;
    release_process(claim.process);
    --live_;
}

void claim_table::keep_outcome(std::uint32_t number, const outcome_record& outcome)
{
    if (!outcome.payload_kept) {
        return;
    }
    outcome_bytes_ += kept_bytes(outcome.content_type, outcome.payload);
    at(number).outcome = next_outcome_;
    outcomes_.emplace(next_outcome_, kept_outcome{number, outcome.content_type, outcome.payload});
    next_outcome_ =
        next_outcome_ == std::numeric_limits<std::uint32_t>::max() ? 1 : next_outcome_ + 1;
    while (outcome_bytes_ > settings_.outcome_bytes) {
        drop_outcome(outcomes_.begin()->first);
    }
}

void claim_table::drop_outcome(std::uint32_t outcome)
{
    const auto it = outcomes_.find(outcome);
    if (it == outcomes_.end()) {
        return;
    }
    outcome_bytes_ -= kept_bytes(it->second.content_type, it->second.payload);
    at(it->second.entry).outcome = 0;
    outcomes_.erase(it);
}

void claim_table::pop_oldest()
{
    const auto& oldest = entries_.front();
    if (oldest.outcome != 0) {
        drop_outcome(oldest.outcome);
    }
    if (oldest.state != entry_state::tombstone) {
        free_claim(first_);
    }
    entries_.pop_front();
    ++first_;
}

std::uint32_t claim_table::intern(const process_id& process)
{
    const auto known = process_numbers_.find(process);
    if (known != process_numbers_.end()) {
        ++processes_[known->second].claims;
        return known->second;
    }
    auto number = static_cast<std::uint32_t>(processes_.size());
    if (free_processes_.empty()) {
        processes_.emplace_back();
    }
    else {
        number = free_processes_.back();
        free_processes_.pop_back();
    }
    const bool gone = std::find(gone_.begin(), gone_.end(), process) != gone_.end();
    processes_[number] = {process, 1, gone};
    process_numbers_.emplace(process, number);
    return number;
}

void claim_table::release_process(std::uint32_t number)
{
    auto& process = processes_[number];
    --process.claims;
    if (process.claims == 0) {
        process_numbers_.erase(process.id);
        process = {};
        free_processes_.push_back(number);
    }
}

} // namespace wagtailhitch
