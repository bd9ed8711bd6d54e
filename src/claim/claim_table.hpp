#pragma once

#include "base/names.hpp"
#include "claim/claim_record.hpp"
#include "claim/detail/claim_index.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// The claims that result from applying the stream `claims` in order: which request owns a key and
// may run, and its outcome.
//
//   table.start(batch.oldest, wall_ms);                 // once, at the first read
//   auto events = table.apply(record.offset, *decode_claim_batch(record.data), wall_ms);
//   claim_state state = table.find(key);
//   table.expire(wall_ms);

namespace wagtailhitch {

struct claim_table_settings {
    std::int64_t retention_ms{24LL * 60 * 60 * 1000};
    /// Claims are kept this much longer, because the wall clocks of VMs differ.
    std::int64_t clock_skew_ms{5LL * 60 * 1000};
    std::size_t outcome_bytes{std::size_t{32} * 1024 * 1024}; ///< of all kept answers
};

/// absent: no claim within the horizon, or the claim was freed by a not_run outcome.
/// unknown: the owner is gone, or reported the outcome as unknown. finished: the request ran; its
/// answer may have been dropped.
enum class claim_phase : std::uint8_t { absent, running, unknown, finished };

struct claim_outcome_view {
    unsigned status{0};
    bool payload_kept{false};
    std::string_view content_type; ///< valid until the table is next changed
    std::string_view payload;
};

struct claim_state {
    claim_phase phase{claim_phase::absent};
    std::uint64_t request_digest{0};
    request_id owner;
    claim_outcome_view outcome;
};

/// Effect of a record; a repeated record has none. After a `won` event for a request of this
/// process that is already over, call claim_outbox::release(): the claim reached the log after its
/// request was refused.
enum class claim_event_kind { won, lost, outcome, freed };

template<>
inline constexpr auto enum_names<claim_event_kind> = name_table<claim_event_kind, 4>{{
    {claim_event_kind::won, "won"},
    {claim_event_kind::lost, "lost"},
    {claim_event_kind::outcome, "outcome"},
    {claim_event_kind::freed, "freed"},
}};

/// One effect of a record. `request` is the claiming request for won and lost, else the owner of
/// the claim.
struct claim_event {
    claim_event_kind kind{claim_event_kind::won};
    claim_key key;
    request_id request;
};

class claim_table {
public:
    explicit claim_table(claim_table_settings settings);

    /// Starts at the offset `oldest`. Claims before it are unknown, which raises the horizon.
    /// `wall_ms`, here and below: this VM's Unix milliseconds.
    void start(log_offset oldest, std::int64_t wall_ms);
    /// Skips to `oldest`, because the records before it expired unread.
    void gap(log_offset oldest, std::int64_t wall_ms);

    /// Applies one record. Offsets below next_offset() are ignored. Which claim wins depends on the
    /// log alone; `wall_ms` only limits the retention of claims dated in the future.
    std::vector<claim_event> apply(log_offset offset, const claim_batch& batch,
                                   std::int64_t wall_ms);

    /// Changes running claims of `gone` to unknown. An outcome record read later still takes
    /// effect.
    void on_process_ended(const process_id& gone);

    /// Removes claims older than the retention plus the clock skew.
    void expire(std::int64_t wall_ms);

    [[nodiscard]] claim_state find(const claim_key& key) const;
    [[nodiscard]] log_offset next_offset() const { return next_; }

    /// Returns the time (Unix milliseconds) before which a created key may have had a claim that
    /// this table no longer has, or never read.
    [[nodiscard]] std::int64_t horizon_ms(std::int64_t wall_ms) const;

    [[nodiscard]] std::size_t size() const { return live_; }
    [[nodiscard]] std::size_t outcome_bytes() const { return outcome_bytes_; }
    /// Returns the memory used by claims and index, without answers.
    [[nodiscard]] std::size_t claim_memory_bytes() const;

private:
    enum class entry_state : std::uint8_t { running, unknown, finished, tombstone };
    // 48 bytes. VM and incarnation are interned as a number, because all claims belong to few
    // processes.
    struct entry {
        claim_key key;
        std::uint64_t request_digest{0};
        std::uint64_t sequence{0};
        std::uint32_t process{0};
        std::uint32_t claimed_s{0};
        std::uint32_t outcome{0}; // key of outcomes_; 0 when none is kept
        std::uint16_t status{0};
        entry_state state{entry_state::running};
    };
    struct owner_process {
        process_id id;
        std::uint32_t claims{0};
        bool gone{false};
    };
    struct kept_outcome {
        std::uint32_t entry{0};
        std::string content_type;
        std::string payload;
    };

    [[nodiscard]] entry& at(std::uint32_t number) { return entries_[number - first_]; }
    [[nodiscard]] const entry& at(std::uint32_t number) const { return entries_[number - first_]; }
    [[nodiscard]] std::optional<std::uint32_t> lookup(const claim_key& key) const;
    [[nodiscard]] request_id owner_of(const entry& claim) const;
    std::optional<claim_event> apply_claim(const claim_record& claim, std::int64_t wall_ms);
    std::optional<claim_event> apply_outcome(const outcome_record& outcome);
    void insert(const claim_record& claim, std::int64_t wall_ms);
    [[nodiscard]] entry placeholder() const;
    void begin_gap(std::int64_t wall_ms);
    void free_claim(std::uint32_t number);
    void keep_outcome(std::uint32_t number, const outcome_record& outcome);
    void drop_outcome(std::uint32_t outcome);
    void pop_oldest();
    std::uint32_t intern(const process_id& process);
    void release_process(std::uint32_t number);

    claim_table_settings settings_;
    log_offset next_{0};
    std::int64_t minimum_horizon_ms_{0};
    std::optional<std::int64_t>
        minimum_horizon_before_gap_ms_; // until the first record after a gap
    std::uint32_t first_{0};            // number of entries_.front(); numbers wrap around
    std::deque<entry> entries_;
    detail::claim_index index_;
    std::size_t live_{0};
    std::vector<owner_process> processes_;
    std::vector<std::uint32_t> free_processes_;
    std::map<process_id, std::uint32_t> process_numbers_;
    std::deque<process_id> gone_; // the most recent ones, including those without claims
    std::map<std::uint32_t, kept_outcome> outcomes_;
    std::uint32_t next_outcome_{1};
    std::size_t outcome_bytes_{0};
};

} // namespace wagtailhitch
