#pragma once

#include "base/clock.hpp"
#include "claim/claim_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Delivery of claims and outcomes from a request's VM to the stream `claims`, through the one VM of
// the domain that writes them in batches.
//
//   claim_outbox outbox{settings};                    // on every VM
//   outbox.add(item, now);
//   for (auto& items : outbox.due(now)) { send claim_submit to the domain's writer, or accept() }
//   outbox.acknowledge(batch);                        // for each record read from the stream
//
//   claim_writer writer{settings, first_id};          // on the holder of the duty claim-writer
//   writer.accept(items);
//   if (auto append = writer.due(now, has_authority)) { log_append{...} }
//   writer.on_result(append, true, now);

namespace wagtailhitch {

struct claim_outbox_settings {
    std::size_t maximum_items{4096};
    duration resend_after{1s}; ///< for an item that was not read back from the stream
    std::size_t maximum_submit_bytes{std::size_t{48} * 1024}; ///< per submission; fits a peer frame
};

/// Holds a VM's claims and outcomes, and submits them again, until they are read back from the
/// stream.
class claim_outbox {
public:
    explicit claim_outbox(claim_outbox_settings settings);

    /// Returns false when the outbox is full. This limits claims only; outcomes are always
    /// accepted.
    bool add(claim_item item, time_point now);

    /// Stops submitting the claim of a request that was refused and is never sent. The claim may
    /// still reach the stream; see release().
    void withdraw(const request_id& request);

    /// Frees a key by a not_run outcome. The request that holds the key was not sent and never
    /// will be.
    void release(const claim_key& key, const request_id& request, time_point now);

    /// Returns the items to submit to the domain's writer now: new ones, and those not read back
    /// within `resend_after`.
    std::vector<std::vector<claim_item>> due(time_point now);

    /// Submits all items again at the next due(), because another VM became the writer.
    void writer_changed();

    /// Removes the items that were read back from the stream.
    void acknowledge(const claim_batch& batch);

    [[nodiscard]] std::size_t size() const { return pending_.size(); }
    [[nodiscard]] bool empty() const { return pending_.empty(); }

private:
    using item_id = std::pair<request_id, std::size_t>; // second: alternative of claim_item
    struct pending_item {
        claim_item item;
        time_point submit_at;
    };

    claim_outbox_settings settings_;
    std::map<item_id, pending_item> pending_;
    std::size_t claims_{0};
    time_point next_due_{}; // no item is due before this time
};

struct claim_writer_settings {
    duration minimum_interval{50ms};   ///< 20 batches per second
    std::size_t maximum_queue{16'384}; ///< items
    /// Encoded in Base64, a batch stays below the log's record limit of 64 KiB.
    std::size_t maximum_batch_bytes{std::size_t{47} * 1024};
    std::size_t maximum_in_flight{4}; ///< batches without a reply
    duration reply_timeout{2s};       ///< after which the same batch is appended again
    duration retry_after{250ms};      ///< after a failed append
};

/// One record to append to the stream `claims`. Repeats carry the same batch id and data.
struct claim_append {
    std::uint64_t batch{0};
    std::string data;
};

/// Combines the submissions of all VMs of the domain into few records, and appends them.
class claim_writer {
public:
    /// Batch ids count up from `first_batch`.
    claim_writer(claim_writer_settings settings, std::uint64_t first_batch);

    /// Queues the items that are not yet queued or in flight. Returns the number of items that did
    /// not fit into the queue; their VMs submit them again.
    std::size_t accept(std::vector<claim_item> items);

    /// Returns the append to send now, if any. Without authority (another VM is the writer) all
    /// items are dropped; their VMs submit them again to the new writer.
    std::optional<claim_append> due(time_point now, bool authority);

    /// Handles the result of an append. `stored` is false for every failure, including one where
    /// the record may have been stored: the batch is appended again, and claim_table ignores the
    /// repeat.
    void on_result(std::uint64_t batch, bool stored, time_point now);

    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }

private:
    using item_id = std::pair<request_id, std::size_t>;
    struct sent_batch {
        std::string data;
        std::vector<item_id> ids;
        time_point send_again_at;
    };

    std::optional<claim_append> repeat(time_point now);
    claim_append next_batch(time_point now);
    void drop_all();

    claim_writer_settings settings_;
    std::uint64_t next_batch_;
    time_point next_send_{};
    std::deque<claim_item> queue_;
    std::set<item_id> pending_ids_; // queued and in flight
    std::map<std::uint64_t, sent_batch> in_flight_;
};

} // namespace wagtailhitch
