#pragma once

#include "billing/bill_buffer.hpp"
#include "billing/bill_writer.hpp"
#include "proxy/datagram.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Transfers the bills of one VM to the store. Each VM submits its bills to the writer of its
// failure domain, which appends the bills of all members in one batch. A VM keeps its bills until
// the writer confirms that they are stored, so submitted bills survive the loss of either of the
// two.
//
//   bills.add(created, now);
//   for (auto& output : bills.tick(writer_address, now)) {
//       // bill_append: append it to the store, then call on_appended(); datagram: send it
//   }
//   bills.on_message(submitted_bills) and bills.on_message(stored_bills) for messages of other VMs
//
// A lost message loses no bills: unconfirmed submissions are repeated, and bills that reach the
// store twice count once.

namespace wagtailhitch {

/// Bills that a VM sends to the writer. The writer replies with stored_bills.
struct submitted_bills {
    process_id from;
    std::string address; ///< address of the VM for the reply
    std::uint64_t id{0}; ///< of this submission, assigned by the VM
    std::string data;    ///< encode_bill_batch()

    friend bool operator==(const submitted_bills&, const submitted_bills&) = default;
};

/// Confirms which submissions of a VM are in the store.
struct stored_bills {
    process_id owner;
    std::vector<std::uint64_t> ids;

    friend bool operator==(const stored_bills&, const stored_bills&) = default;
};

std::string encode_submitted_bills(const submitted_bills& bills);
/// Errors: malformed_request.
expected<submitted_bills> decode_submitted_bills(std::string_view data);
std::string encode_stored_bills(const stored_bills& bills);
/// Errors: malformed_request.
expected<stored_bills> decode_stored_bills(std::string_view data);

using domain_bill_output = std::variant<bill_append, datagram>;

struct domain_bill_settings {
    /// Submissions to the writer. They are frequent because a submission is only a datagram within
    /// the domain, and because bills that are not yet submitted are lost if the VM fails.
    bill_buffer_settings buffer{.max_appends_in_flight = 16,
                                .append_interval = 1s,
                                .append_timeout = 8s,
                                .append_retry = 4s,
                                .maximum_record_bytes = std::size_t{20} * 1024};
    /// Appends to the store. They are batched because each append has a cost.
    bill_writer_settings writer{
        .append_interval = 5s, .retry_after = 4s, .maximum_record_bytes = std::size_t{200} * 1024};
    /// A VM appends its bills itself when the writer has confirmed none for this long. Long enough
    /// for two submissions.
    duration bypass_after{20s};
};

class domain_bills {
public:
    /// `address`: where this VM receives messages.
    domain_bills(process_id self, std::string address, domain_bill_settings settings);

    void add(const bill& created, time_point now);
    /// From now on this VM appends its own bills, and those submitted to it, to the store without
    /// delay.
    void begin_stop();
    /// True when every bill of this VM is in the store.
    [[nodiscard]] bool drained() const { return buffer_.drained(); }
    /// True when the buffer has no room for further bills. New requests are then refused.
    [[nodiscard]] bool full() const { return buffer_.full(); }
    [[nodiscard]] std::size_t bytes() const { return buffer_.bytes() + writer_.queued_bytes(); }

    /// Returns the appends and messages that are due. `writer`: the address of the domain's writer;
    /// empty when it is this VM.
    std::vector<domain_bill_output> tick(const std::optional<std::string>& writer, time_point now);
    /// Handles the result of an append. Returns confirmations for the VMs whose bills were stored.
    std::vector<datagram> on_appended(std::uint64_t id, bool stored, time_point now);
    /// Accepts bills from a member that considers this VM the writer. If the queue is full or
    /// the data is malformed, they are dropped, and the member submits them again.
    void on_message(const submitted_bills& bills);
    void on_message(const stored_bills& bills, time_point now);

private:
    [[nodiscard]] bool bypasses_writer(time_point now) const;
    void mark_stored(std::uint64_t id, time_point now);

    process_id self_;
    std::string address_;
    domain_bill_settings settings_;
    bill_buffer buffer_;
    bill_writer writer_;
    std::map<vm_id, std::string> owner_addresses_; ///< addresses of VMs that submitted bills here
    std::optional<std::string> submitted_to_;
    std::optional<time_point> unanswered_since_; ///< first submission since the last reply
    bool stopping_{false};
};

} // namespace wagtailhitch
