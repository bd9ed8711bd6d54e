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

// The bills of one VM on their way to the store. Each VM submits its bills to one writer of its
// failure domain, which appends those of all members together. A VM keeps its bills until the
// writer says that they are stored, so that the loss of either loses none that were submitted.
//
//   bills.add(created, now);
//   for (auto& step : bills.tick(writer_address, now)) {
//       // bill_append: append it to the store, then on_appended(); datagram: send it
//   }
//   bills.take(submitted_bills) and bills.take(stored_bills) for messages of other VMs
//
// Nothing is lost with a lost message: what stays without an answer is submitted again, and bills
// that reach the store twice count once.

namespace wagtailhitch {

/// Bills that a VM hands to the writer, who answers with stored_bills.
struct submitted_bills {
    process_id from;
    std::string address; ///< where the VM takes the answer
    std::uint64_t id{0}; ///< of this submission, chosen by the VM
    std::string data;    ///< encode_bill_batch()

    friend bool operator==(const submitted_bills&, const submitted_bills&) = default;
};

/// Submissions of a VM that are in the store.
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

using domain_bill_step = std::variant<bill_append, datagram>;

struct domain_bill_settings {
    /// A submission is a datagram within the domain. What has not been submitted is lost with the
    /// VM.
    bill_buffer_settings buffer{.maximum_appends = 16,
                                .append_interval = 1s,
                                .append_timeout = 8s,
                                .append_retry = 4s,
                                .maximum_record_bytes = std::size_t{20} * 1024};
    /// Each append has its price.
    bill_writer_settings writer{
        .append_interval = 5s, .retry_after = 4s, .maximum_record_bytes = std::size_t{200} * 1024};
    /// A writer that has stored nothing for so long is bypassed. Covers two submissions.
    duration bypass_after{20s};
};

class domain_bills {
public:
    /// `address`: where this VM takes messages.
    domain_bills(process_id self, std::string address, domain_bill_settings settings);

    void add(const bill& created, time_point now);
    /// From now on this VM appends its own bills and those that it holds, at once.
    void begin_stop();
    /// Every bill of this VM is in the store.
    [[nodiscard]] bool drained() const { return buffer_.drained(); }
    /// New requests are refused while there is no room for their bills.
    [[nodiscard]] bool full() const { return buffer_.full(); }
    [[nodiscard]] std::size_t bytes() const { return buffer_.bytes() + writer_.queued_bytes(); }

    /// What is due. `writer`: the address of the domain's writer; empty when it is this VM.
    std::vector<domain_bill_step> tick(const std::optional<std::string>& writer, time_point now);
    /// Reply to an append: messages to the VMs whose bills are stored now.
    std::vector<datagram> on_appended(std::uint64_t id, bool stored, time_point now);
    /// A member takes this VM for the writer. Without a place the bills are not taken, and the
    /// member submits them again.
    void take(const submitted_bills& bills);
    void take(const stored_bills& bills, time_point now);

private:
    [[nodiscard]] bool bypasses(time_point now) const;
    void settle(std::uint64_t id, time_point now);

    process_id self_;
    std::string address_;
    domain_bill_settings settings_;
    bill_buffer buffer_;
    bill_writer writer_;
    std::map<vm_id, std::string> owners_; ///< addresses of VMs with bills at this writer
    std::optional<std::string> submitted_to_;
    std::optional<time_point> unanswered_since_; ///< the oldest submission without any answer
    bool stopping_{false};
};

} // namespace wagtailhitch
