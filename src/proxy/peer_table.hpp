#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// The latest reports of the other VMs, and where to send reports. VMs of one failure domain, the
// members, report to each other. The first live member by name is the domain's speaker: it sends
// the domain's digest to the other domains. Whoever receives a digest from another domain passes it
// on to its own members.
//
//   peer_table peers{{self, own_address, domain, 2s}};
//   if (peers.take(report, now)) { ... }
//   for (const auto& address : peers.addresses(round, now)) { send(address, own_report); }

namespace wagtailhitch {

struct peer_table_settings {
    process_id self;
    std::string address; ///< "IP:port" at which this VM takes reports
    failure_domain_id domain;
    /// A peer that has not reported for so long is taken as gone.
    duration timeout{2s};
};

class peer_table {
public:
    explicit peer_table(peer_table_settings settings);

    /// False when the report is the VM's own, its domain's digest, another domain's member's, or
    /// older than one taken before.
    bool take(const peer_report& report, time_point now);
    /// An address to try besides the peers that report.
    void add_address(const std::string& address, const failure_domain_id& domain);
    void forget_gone(time_point now);

    [[nodiscard]] std::size_t live_members(time_point now) const;
    /// Live members and domains.
    [[nodiscard]] std::size_t live(time_point now) const;
    /// Other VMs of the domain that have been heard of, whether they live or not.
    [[nodiscard]] std::size_t known_members() const;
    /// Other VMs of all domains that have been heard of.
    [[nodiscard]] std::size_t known() const;
    /// Between two reports of a VM, so that the datagrams it sends and receives stay bounded.
    [[nodiscard]] duration report_interval(time_point now) const;
    /// The same for digests, which each member receives.
    [[nodiscard]] duration digest_interval() const;
    /// Where to send the report of this round: all live members and one silent address.
    [[nodiscard]] std::vector<std::string> addresses(std::uint64_t round, time_point now) const;
    [[nodiscard]] std::vector<std::string> member_addresses(time_point now) const;
    /// Where to send the digest of this round: the speaker of each other domain, or one of its
    /// known addresses.
    [[nodiscard]] std::vector<std::string> digest_addresses(std::uint64_t round,
                                                            time_point now) const;
    /// The reports that live members or domains are known by.
    [[nodiscard]] std::vector<heard_report> heard(report_scope scope, time_point now) const;
    /// Requests in flight by upstream: of the live members, and of the other domains as well.
    [[nodiscard]] std::map<upstream_id, std::uint32_t> member_loads(time_point now) const;
    [[nodiscard]] std::map<upstream_id, std::uint32_t> loads(time_point now) const;
    /// Live members that stay and come before this VM: those with earlier names, or all when this
    /// VM leaves.
    /// Where the first live member that stays takes messages; nothing when it is this VM.
    [[nodiscard]] std::optional<std::string> speaker_address(bool leaving, time_point now) const;
    [[nodiscard]] std::size_t member_rank(bool leaving, time_point now) const;
    /// Live VMs that act before this one where one of all VMs is enough.
    [[nodiscard]] std::size_t rank(bool leaving, time_point now) const;
    /// The live member that has read a stream furthest beyond `position`; for the speaker, in want
    /// of such a member, another domain's speaker.
    [[nodiscard]] std::optional<std::string> ahead_of(followed_stream stream, log_offset position,
                                                      bool speaker, time_point now) const;

private:
    struct peer {
        peer_report report;
        time_point heard_at;
    };
    [[nodiscard]] bool is_live(const peer& item, time_point now) const;
    [[nodiscard]] bool is_live_domain(const peer& item, time_point now) const;
    static void add_loads(const peer_report& report, std::map<upstream_id, std::uint32_t>& out);

    peer_table_settings settings_;
    std::map<vm_id, peer> members_;
    std::map<failure_domain_id, peer> domains_; ///< the newest digest of each other domain
    std::map<failure_domain_id, std::vector<std::string>> known_addresses_;
};

} // namespace wagtailhitch
