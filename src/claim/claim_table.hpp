#pragma once

#include "claim/claim_record.hpp"
#include "claim/detail/claim_index.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// The fold of the stream `claims`: who may run the request of a key, and what became of it.
//
//   table.start(batch.oldest, wall_ms);                 // once, at the first read
//   auto events = table.apply(record.offset, *decode_claim_batch(record.data), wall_ms);
//   claim_state state = table.find(key);
//   table.expire(wall_ms);

namespace wagtailhitch {

struct claim_table_settings {
    std::int64_t retention_ms{24LL * 60 * 60 * 1000};
    /// Claims are kept this much longer, for wall clocks of VMs that differ.
    std::int64_t clock_skew_ms{5LL * 60 * 1000};
    std::size_t outcome_bytes{std::size_t{32} * 1024 * 1024}; ///< of all kept answers
};

/// absent: no claim within the horizon, or the claim was freed by a not_run outcome.
/// unknown: the owner is gone or said so. finished: the request ran; the answer may be dropped.
enum class claim_phase : std::uint8_t { absent, running, unknown, finished };

struct claim_outcome_view {
    unsigned status{0};
    bool payload_kept{false};
    std::string_view content_type; ///< valid until the next command on the table
    std::string_view payload;
};

struct claim_state {
    claim_phase phase{claim_phase::absent};
    std::uint64_t request_digest{0};
    request_id owner;
    claim_outcome_view outcome;
};

/// A repeated record has no event. A `won` event of this process for a request that is over must be
/// answered by claim_outbox::release(): the claim reached the log after its request was refused.
enum class claim_event_kind { won, lost, outcome, freed };

/// One effect of a record. For won and lost `request` is the claim's, else the claim owner's.
struct claim_event {
    claim_event_kind kind{claim_event_kind::won};
    claim_key key;
    request_id request;
};

class claim_table {
public:
    explicit claim_table(claim_table_settings settings);

    /// The fold begins at `oldest`; claims before it are unknown, which raises the horizon.
    /// `wall_ms`, here and below: this VM's Unix milliseconds.
    void start(log_offset oldest, std::int64_t wall_ms);
    /// Records before `oldest` expired before they were read.
    void gap(log_offset oldest, std::int64_t wall_ms);

    /// Folds one record. Offsets below next_offset() are ignored. Who wins depends on the log
    /// alone; `wall_ms` only bounds the retention of claims dated in the future.
    std::vector<claim_event> apply(log_offset offset, const claim_batch& batch,
                                   std::int64_t wall_ms);

    /// Running claims of `gone` become unknown; a later outcome record still counts.
    void process_gone(const process_id& gone);

    /// Forgets claims older than the retention.
    void expire(std::int64_t wall_ms);

    [[nodiscard]] claim_state find(const claim_key& key) const;
    [[nodiscard]] log_offset next_offset() const { return next_; }

    /// A key created before this time (Unix milliseconds) may have a claim that is forgotten.
    [[nodiscard]] std::int64_t horizon_ms(std::int64_t wall_ms) const;

    [[nodiscard]] std::size_t size() const { return live_; }
    [[nodiscard]] std::size_t outcome_bytes() const { return outcome_bytes_; }
    /// Memory of claims and index, without answers.
    [[nodiscard]] std::size_t claim_memory_bytes() const;

private:
    enum class entry_state : std::uint8_t { running, unknown, finished, superseded };
    // 48 bytes. A VM and incarnation are interned as a number, because few processes own all
    // claims.
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
    std::optional<claim_event> fold_claim(const claim_record& claim, std::int64_t wall_ms);
    std::optional<claim_event> fold_outcome(const outcome_record& outcome);
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
    std::int64_t floor_ms_{0};
    std::optional<std::int64_t> floor_before_gap_ms_; // until the first record after a gap
    std::uint32_t first_{0}; // number of entries_.front(); numbers wrap around
    std::deque<entry> entries_;
    detail::claim_index index_;
    std::size_t live_{0};
    std::vector<owner_process> processes_;
    std::vector<std::uint32_t> free_processes_;
    std::map<process_id, std::uint32_t> process_numbers_;
    std::deque<process_id> gone_; // the latest ones, also those without claims yet
    std::map<std::uint32_t, kept_outcome> outcomes_;
    std::uint32_t next_outcome_{1};
    std::size_t outcome_bytes_{0};
};

} // namespace wagtailhitch
