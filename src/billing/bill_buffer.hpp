#pragma once

#include "base/clock.hpp"
#include "billing/bill.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// A VM's bills from their creation until they are on the stream `bills`.
//
//   if (buffer.full()) { refuse the request with bill_buffer_full }
//   buffer.set_peers(live_peers_of_the_domain, now);
//   buffer.add(bill, now);             // the answer's end is held back
//   for (auto& out : buffer.tick(now)) { copies, appends, releases, done notices }
//
// Messages: bill_copy carries bill_copy_batch and is answered by bill_ack with its id; bill_done
// carries the request sequences that are on the stream.

namespace wagtailhitch {

struct bill_buffer_settings {
    std::size_t maximum_bytes{32 * 1024 * 1024}; ///< own bills and copies held for others
    std::size_t copies{2};
    duration copy_interval{5ms};   ///< copies are sent in batches
    duration release_after{50ms};  ///< the answer's end is not held back longer
    duration copy_again_after{1s}; ///< a copy that was not acknowledged is sent again
    duration append_interval{2s};
    duration append_timeout{5s};  ///< without a reply the same record is appended again
    duration append_retry{500ms}; ///< after a failed append
    std::size_t maximum_record_bytes{60 * 1024}; ///< below the log's record bound of 64 KiB
};

/// The end of the answer may be sent. `copied` false is counted as bill_uncopied.
struct bill_release {
    request_id request;
    bool copied{false};
};

/// Copies for one peer; the peer answers with `id`.
struct bill_copy_batch {
    vm_id to;
    std::uint64_t id{0};
    std::string data; ///< encode_bill_batch
};

/// One record for the stream `bills`, or a submission to the domain's bill writer.
struct bill_append {
    std::uint64_t id{0};
    std::string data;
};

/// Bills of this process that are on the stream; the peer drops its copies.
struct bill_done {
    vm_id to;
    std::vector<std::uint64_t> sequences;
};

using bill_output = std::variant<bill_release, bill_copy_batch, bill_append, bill_done>;

class bill_buffer {
public:
    bill_buffer(process_id self, bill_buffer_settings settings);

    /// New requests are refused while the buffer is full. Bills of requests that were already
    /// accepted are always taken.
    [[nodiscard]] bool full() const { return bytes_ >= settings_.maximum_bytes; }

    /// Live peers of the failure domain; the copy-holders are chosen among them by rendezvous.
    /// Bills copied to a peer that is not listed any more are copied to another.
    void set_peers(const std::vector<vm_id>& live);

    /// A bill of this process, before the end of its answer.
    void add(const bill& created, time_point now);

    /// A peer holds the copies of batch `id`.
    void on_copy_ack(const vm_id& peer, std::uint64_t id, std::vector<bill_output>& out);

    /// Copies from a peer. False when they were not stored (full or malformed): no ack is sent.
    bool hold_copies(std::string_view data);
    /// `owner` says that these bills are on the stream.
    void drop_copies(const process_id& owner, const std::vector<std::uint64_t>& sequences);

    /// Reply to an append; a failure may have taken effect and the same record is appended again.
    void on_append_result(std::uint64_t id, bool stored, time_point now,
                          std::vector<bill_output>& out);
    /// The record was read from the stream: its bills need no further work here.
    void on_stream(std::string_view data, std::vector<bill_output>& out);

    /// The incarnation left or was removed: this VM appends the copies it holds.
    void process_gone(const process_id& gone);

    /// A graceful shutdown: everything is appended without waiting for the interval.
    void begin_stop();
    /// Nothing is left that only this VM knows: every bill is on the stream or, when the log is
    /// away, acknowledged by the wanted number of peers.
    [[nodiscard]] bool drained() const;

    /// Everything that is due: releases after release_after, copies, appends.
    std::vector<bill_output> tick(time_point now);

    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t own() const { return own_.size(); }
    [[nodiscard]] std::size_t held() const;

private:
    struct copy_state {
        vm_id peer;
        bool acknowledged{false};
        std::optional<time_point> sent;
    };
    struct own_bill {
        std::string encoded;
        time_point created;
        bool released{false};
        std::vector<copy_state> copies;
        std::uint64_t append{0}; // id of the record it is in; 0 when in none
    };
    struct held_bill {
        std::string encoded;
        std::uint64_t append{0};
    };
    struct sent_copy {
        vm_id peer;
        std::vector<std::uint64_t> sequences;
    };
    struct sent_append {
        std::string data;
        std::vector<request_id> bills;
        time_point again_at;
    };

    process_id self_;
    bill_buffer_settings settings_;
    std::vector<vm_id> holders_;
    std::map<std::uint64_t, own_bill> own_;
    std::map<process_id, std::map<std::uint64_t, held_bill>> held_;
    std::vector<process_id> gone_;
    std::map<std::uint64_t, sent_copy> sent_copies_;
    std::map<std::uint64_t, sent_append> appends_;
    std::uint64_t next_id_{1};
    time_point next_copy_{};
    time_point next_append_{};
    std::size_t bytes_{0};
    bool stopping_{false};
};

} // namespace wagtailhitch
