#pragma once

#include "base/clock.hpp"
#include "config/follow.hpp"
#include "node/messages.hpp"

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Follows one stream of the log through the failure domain's readers.
//
//   stream_relay relay{"claims", settings};
//   relay.set_topology(reads_log, sources, peers, out);
//   auto update = relay.on_log(batch, now, out);       // or on_records() from a peer
//   if (update.expired_before) { table.gap(*update.expired_before); }
//   for (const auto& record : update.records) { apply(record); }
//
// A VM that reads the log pushes new records to the other VMs of its domain. These also poll a
// reader every second, which repairs lost pushes and confirms how current they are.

namespace wagtailhitch {

struct relay_settings {
    duration poll_interval{1s};
    std::size_t cache_records{4096};
    std::size_t cache_bytes{std::size_t{4} * 1024 * 1024};
    std::size_t answer_bytes{std::size_t{512} * 1024}; ///< fits a peer frame
};

/// New records in order, each exactly once.
struct relay_update {
    /// The records before this offset expired in the log before they were read.
    std::optional<log_offset> expired_before;
    std::vector<log_record> records;
};

struct relay_follow {
    log_offset from{0};
    bool active{true};
};
struct relay_request {
    vm_id to;
    records_request message;
};
struct relay_records {
    vm_id to;
    records_message message;
};

using relay_output = std::variant<relay_follow, relay_request, relay_records>;

class stream_relay {
public:
    stream_relay(std::string stream, relay_settings settings);

    /// `sources`: readers of the domain, best first, without this VM. `peers`: VMs that receive
    /// pushes; empty unless this VM is the first reader.
    void set_topology(bool reads_log, std::vector<vm_id> sources, std::vector<vm_id> peers,
                      std::vector<relay_output>& out);
    relay_update on_log(const log_batch& batch, time_point now, std::vector<relay_output>& out);
    relay_update on_records(const vm_id& from, const records_message& message, time_point now,
                            std::vector<relay_output>& out);
    void on_request(const vm_id& from, const records_request& request, time_point now,
                    std::vector<relay_output>& out) const;
    void tick(time_point now, std::vector<relay_output>& out);

    [[nodiscard]] const std::string& stream() const { return stream_; }
    /// Offset of the next expected record.
    [[nodiscard]] log_offset next() const { return next_; }
    /// No later than the send time of a read that reached the log's head.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }

private:
    void append_record(const log_record& record, relay_update& update);
    void skip_to(log_offset oldest, relay_update& update);
    [[nodiscard]] records_message make_answer(log_offset from) const;

    std::string stream_;
    relay_settings settings_;
    log_offset next_{0};
    log_offset oldest_{0};
    time_point confirmed_at_;
    bool reads_log_{false};
    std::vector<vm_id> sources_;
    std::vector<vm_id> peers_;
    std::deque<log_record> cache_;
    std::size_t cache_bytes_{0};
    std::uint64_t next_correlation_id_{1};
    std::uint64_t pending_correlation_id_{0};
    time_point asked_at_;
    std::size_t next_source_{0};
};

} // namespace wagtailhitch
