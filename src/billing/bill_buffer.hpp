#pragma once

#include "base/clock.hpp"
#include "billing/bill.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Keeps a VM's bills from their creation until they are stored in the stream `bills`.
//
//   if (buffer.full()) { refuse the request with bill_buffer_full }
//   buffer.set_peers(live_processes_of_the_domain);
//   buffer.add(bill, now);             // the end of the answer is delayed
//   for (auto& out : buffer.tick(now)) { copies, appends, releases, done notices }
//
// Messages: bill_copy carries bill_copy_batch and is answered by bill_ack with its id; bill_done
// carries the request sequences that are on the stream.

namespace wagtailhitch {

struct bill_buffer_settings {
    std::size_t maximum_bytes{std::size_t{32} * 1024 *
                              1024}; ///< own bills and copies held for others
    std::size_t copies{2};           ///< 1 or 2
    std::size_t maximum_message_bytes{std::size_t{256} * 1024}; ///< of one batch of copies
    std::size_t max_appends_in_flight{4};                       ///< records without a reply
    duration copy_interval{5ms};                                ///< copies are sent in batches
    duration max_release_delay{50ms}; ///< longest delay of the end of an answer
    duration initial_resend_interval{
        1s}; ///< an unacknowledged message is sent again; doubles up to 30 s
    /// A holder appends a copy that it has held for this long, because a done notice can be lost.
    /// By then the owner has appended the bill, or the log was unavailable.
    duration max_hold_time{1h};
    duration append_interval{2s};
    duration append_timeout{5s};  ///< without a reply the same record is appended again
    duration append_retry{500ms}; ///< after a failed append
    /// Stays below the log's record limit of 64 KiB after base 64 encoding.
    std::size_t maximum_record_bytes{std::size_t{47} * 1024};
};

/// The end of the answer may be sent. `copied` false is counted as bill_uncopied.
struct bill_release {
    request_id request;
    bool copied{false};
};

/// Copies for one peer, which answers with bill_ack and `id`.
struct bill_copy_batch {
    process_id to;
    std::uint64_t id{0};
    std::string data; ///< encode_bill_batch
};

/// One record for the stream `bills`, or a submission to the domain's bill writer.
struct bill_append {
    std::uint64_t id{0};
    std::string data;
};

/// Bills of this process that are stored in the stream. The peer drops its copies and answers with
/// bill_ack and `id`.
struct bill_done {
    process_id to;
    std::uint64_t id{0};
    std::vector<std::uint64_t> sequences;
};

using bill_output = std::variant<bill_release, bill_copy_batch, bill_append, bill_done>;

class bill_buffer {
public:
    bill_buffer(process_id self, bill_buffer_settings settings);

    /// New requests are refused while the buffer is full. Bills of requests that were already
    /// accepted are always added.
    [[nodiscard]] bool full() const { return bytes_ >= settings_.maximum_bytes; }

    /// Sets the live processes of the failure domain, without this one. The copy-holders are chosen
    /// among them by rendezvous hashing. Bills copied to a process that is no longer listed are
    /// copied to another one.
    void set_peers(const std::vector<process_id>& live);

    /// Adds a bill of this process, before the end of its answer is sent.
    void add(const bill& created, time_point now);

    /// The peer has handled message `id`, a copy batch or a done notice.
    void on_ack(const process_id& peer, std::uint64_t id, std::vector<bill_output>& out);

    /// Stores copies from a peer. Returns false when they were not stored (buffer full or data
    /// malformed); then no ack is sent.
    bool hold_copies(std::string_view data, time_point now);
    /// Drops copies that `owner` has reported as stored in the stream; the ack is always sent.
    void drop_copies(const process_id& owner, const std::vector<std::uint64_t>& sequences);

    /// Handles the reply to an append. A failed append may have taken effect; the same record is
    /// appended again.
    void on_append_result(std::uint64_t id, bool stored, time_point now,
                          std::vector<bill_output>& out);
    /// Sends appends without a reply again at once, because their destination has changed.
    void retry_appends();
    /// Handles a record read from the stream: its bills are stored and are dropped here.
    void on_stream(std::string_view data, std::vector<bill_output>& out);

    /// Handles an incarnation that left or was removed: this VM appends the copies that it holds of
    /// its bills.
    void on_process_ended(const process_id& ended);

    /// Begins a graceful shutdown: everything is appended without waiting for the interval.
    void begin_stop();
    /// True when this VM holds no bill alone: every bill is stored in the stream or, while the log
    /// is unavailable, acknowledged by the required number of peers.
    [[nodiscard]] bool drained() const;

    /// Returns everything that is due: releases, copies, appends and done notices.
    std::vector<bill_output> tick(time_point now);

    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t own() const { return own_.size(); }
    [[nodiscard]] std::size_t held() const { return held_count_; }

private:
    using peer_number = std::uint16_t; // index into peers_ + 1; 0 is none
    struct own_bill {
        std::string encoded;
        std::array<peer_number, 2> holders{}; // acknowledged copies
        bool released{false};
    };
    struct unreleased_answer {
        std::uint64_t sequence{0};
        time_point created;
    };
    struct held_bill {
        std::string encoded;
        time_point received;
        bool handed_over{false}; // acknowledged by a peer during a graceful shutdown
    };
    struct sent_message {
        process_id peer;
        std::vector<request_id> bills;
        bool done{false}; // a done notice, else copies
        time_point retry_at;
        duration wait{}; // until the next repeat; doubles
    };
    struct sent_append {
        std::string data;
        std::vector<request_id> bills;
        time_point retry_at;
    };

    [[nodiscard]] bool is_own(const request_id& request) const;
    [[nodiscard]] const std::string* encoded(const request_id& request) const;
    [[nodiscard]] bool is_holder(const process_id& peer) const;
    [[nodiscard]] std::size_t live_copies(const own_bill& subject) const;
    peer_number peer_number_for(const process_id& peer);
    void copied(const process_id& peer, const request_id& request, std::vector<bill_output>& out);
    void on_stored(const request_id& request, std::vector<bill_output>& out);
    void on_own_stored(std::uint64_t sequence, std::vector<bill_output>& out);
    void drop_held(const request_id& request);
    void release(const request_id& request, own_bill& subject, bool copied,
                 std::vector<bill_output>& out);
    void queue_missing_copies();
    void release_overdue(time_point now, std::vector<bill_output>& out);
    void send_copies(time_point now, std::vector<bill_output>& out);
    void send_done_notices(time_point now, std::vector<bill_output>& out);
    void resend_messages(time_point now, std::vector<bill_output>& out);
    void emit(std::uint64_t id, const sent_message& message, std::vector<bill_output>& out) const;
    void append_old_copies(time_point now);
    void send_appends(time_point now, std::vector<bill_output>& out);
    std::optional<request_id> next_to_append();
    void requeue(const request_id& request);
    bool append_next_record(time_point now, std::vector<bill_output>& out);

    process_id self_;
    bill_buffer_settings settings_;
    std::vector<process_id> peers_;   // every copy-holder so far
    std::vector<process_id> holders_; // the current ones
    std::map<std::uint64_t, own_bill> own_;
    std::map<process_id, std::map<std::uint64_t, held_bill>> held_;
    std::deque<process_id> ended_processes_;
    std::deque<unreleased_answer> unreleased_; // in order of creation
    std::map<process_id, std::deque<request_id>> to_copy_;
    std::map<process_id, std::vector<request_id>> pending_done_notices_; // done notices by holder
    std::deque<std::uint64_t> own_to_append_; // sequences, in order of creation
    std::deque<request_id> held_to_append_;
    std::map<std::uint64_t, sent_message> messages_;
    std::map<std::uint64_t, sent_append> appends_;
    std::uint64_t next_id_{1};
    time_point next_copy_{};
    time_point next_append_{};
    time_point next_held_check_{};
    std::size_t bytes_{0};
    std::size_t held_count_{0};
    bool stopping_{false};
};

} // namespace wagtailhitch
