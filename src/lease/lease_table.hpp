#pragma once

#include "lease/lease_record.hpp"

#include <map>
#include <optional>
#include <string>

// The fold of the stream `leases`: compare-and-swap by log order, without clocks.
//
//   table.start(batch.oldest);
//   bool accepted = table.apply(record.offset, *decode_lease_record(record.data));
//   const lease_state* state = table.find("rollout");

namespace wagtailhitch {

struct lease_state {
    process_id holder;
    fencing_number fencing{0};
    log_offset latest{0}; ///< offset of the latest accepted record
    bool released{false};
    std::uint64_t nonce{0}; ///< of the latest accepted record

    friend bool operator==(const lease_state&, const lease_state&) = default;
};

class lease_table {
public:
    /// The fold begins at `oldest`. State from before is learned from renewals; see apply().
    void start(log_offset oldest);

    /// Accepts the record if no record of its duty was accepted after its predecessor, and a renew
    /// or release only from the holder. After a start above 0 the duty's state at the start is
    /// unknown: then the record with the highest predecessor before the start decides.
    bool apply(log_offset offset, const lease_record& record);

    [[nodiscard]] const lease_state* find(const std::string& duty) const;
    /// What a new record of the duty names as its predecessor.
    [[nodiscard]] std::optional<log_offset> predecessor(const std::string& duty) const;
    [[nodiscard]] log_offset next_offset() const { return next_; }

private:
    struct duty_state {
        lease_state lease;
        std::optional<log_offset> base; // predecessor that the chain began with, before start_
        bool provisional{false};        // a record with a higher predecessor before start_ wins
    };

    bool begin_chain(log_offset offset, const lease_record& record);
    bool extend_chain(duty_state& duty, log_offset offset, const lease_record& record);

    log_offset start_{0};
    log_offset next_{0};
    std::map<std::string, duty_state> duties_;
};

} // namespace wagtailhitch
