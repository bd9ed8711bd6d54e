#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The latest report of each other VM, and where to send reports.
//
//   peer_table peers{self, own_address, 2s};
//   if (peers.take(report, now)) { ... }
//   for (const auto& address : peers.addresses(round, now)) { send(address, own_report); }

namespace wagtailhitch {

class peer_table {
public:
    /// A peer that has not reported for `timeout` is taken as gone.
    peer_table(process_id self, std::string address, duration timeout);

    /// False when the report is the VM's own or older than one taken before.
    bool take(const peer_report& report, time_point now);
    /// An address to try besides the peers that report.
    void add_address(const std::string& address);
    void forget_gone(time_point now);

    [[nodiscard]] std::size_t live(time_point now) const;
    /// Other VMs that have been heard of, whether they live or not.
    [[nodiscard]] std::size_t known() const;
    /// Between two reports of a VM, so that the datagrams it sends and receives stay bounded.
    [[nodiscard]] duration report_interval(time_point now) const;
    /// Where to send the report of this round: all live peers and one silent address.
    [[nodiscard]] std::vector<std::string> addresses(std::uint64_t round, time_point now) const;
    /// The reports that live peers are known by.
    [[nodiscard]] std::vector<heard_report> heard(time_point now) const;
    /// Requests in flight of all live peers, by upstream.
    [[nodiscard]] std::map<upstream_id, std::uint32_t> loads(time_point now) const;
    /// Live peers that stay and whose names come before this VM's.
    [[nodiscard]] std::size_t rank(time_point now) const;
    /// Whether a live peer has read the operators' records further than `position`.
    [[nodiscard]] bool ahead_of(log_offset position, time_point now) const;

private:
    struct peer {
        peer_report report;
        time_point heard_at;
    };
    [[nodiscard]] bool is_live(const peer& item, time_point now) const;
    [[nodiscard]] static duration interval_for(std::size_t peers);

    process_id self_;
    std::string address_;
    duration timeout_;
    std::map<vm_id, peer> peers_;
    std::vector<std::string> known_addresses_;
};

} // namespace wagtailhitch
