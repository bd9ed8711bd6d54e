#pragma once

#include "base/clock.hpp"
#include "billing/bill_buffer.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Combines the bill records of a domain's VMs; runs on the holder of the duty bill-writer. Used in
// domains with more than 8 VMs, where one append per VM would load the log too much.
//
//   // a VM: sends its bill_append to the writer instead of the log, with the append's id
//   writer.accept(from, id, data);
//   if (auto append = writer.due(now, has_authority)) { log_append{...} }
//   for (auto& done : writer.on_result(append->id, stored, now)) { tell done.from }
//   // the VM: buffer.on_append_result(done.id, true, now, out); without an answer it retries

namespace wagtailhitch {

struct bill_writer_settings {
    duration append_interval{1s};
    duration reply_timeout{5s}; ///< then the same record is appended again
    duration retry_after{500ms};
    std::size_t maximum_record_bytes{std::size_t{60} * 1024};
    std::size_t maximum_queue_bytes{std::size_t{4} * 1024 * 1024};
};

/// Identifies a record of a VM's bills by the VM's own append id.
struct bill_submission {
    process_id from;
    std::uint64_t id{0};

    friend auto operator<=>(const bill_submission&, const bill_submission&) = default;
};

class bill_writer {
public:
    explicit bill_writer(bill_writer_settings settings);

    /// Queues a submission unless it is already queued or in flight. Returns false when the queue
    /// is full or the submission is malformed; the VM keeps the bills and submits again.
    bool accept(const process_id& from, std::uint64_t id, std::string_view data);

    /// Returns the record to append now, if any. Without authority everything is dropped; the VMs
    /// submit again to the new writer, and bills that reach the log twice count once.
    std::optional<bill_append> due(time_point now, bool authority);

    /// Begins a graceful shutdown: queued bills are appended without waiting for the interval.
    void begin_stop() { stopping_ = true; }

    /// Handles the reply to an append; returns the submissions that are now stored in the stream.
    std::vector<bill_submission> on_result(std::uint64_t id, bool stored, time_point now);

    [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }

private:
    struct queued_submission {
        bill_submission name;
        std::vector<std::string> bills;
        std::size_t bytes{0};
    };
    struct sent_record {
        std::uint64_t id{0};
        std::string data;
        std::vector<bill_submission> submissions;
        time_point retry_at;
    };

    bill_append next_record(time_point now);

    bill_writer_settings settings_;
    std::deque<queued_submission> queue_;
    std::set<bill_submission> pending_submissions_; // queued and in flight
    std::optional<sent_record> sent_;
    std::uint64_t next_id_{1};
    time_point next_append_{};
    std::size_t queued_bytes_{0};
    bool stopping_{false};
};

} // namespace wagtailhitch
