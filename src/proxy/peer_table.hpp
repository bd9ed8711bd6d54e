#pragma once

#include "base/clock.hpp"
#include "proxy/peer_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Holds the latest reports of the other VMs and selects the addresses to report to. The VMs of one
// failure domain, its members, report to each other. The live member with the lowest name is the
// domain's speaker: it sends the domain's digest to the other domains. The VM that receives a
// digest of another domain forwards it to the members of its own.
//
//   peer_table peers{{self, own_address, domain, 2s}};
//   if (peers.take(report, now)) { ... }
//   for (const auto& address : peers.addresses(round, now)) { send(address, own_report); }

namespace wagtailhitch {

struct peer_table_settings {
    process_id self;
    std::string address; ///< "IP:port" at which this VM receives reports
    failure_domain_id domain;
    /// A peer that has not reported for this long is no longer live.
    duration timeout{2s};
};

class peer_table {
public:
    explicit peer_table(peer_table_settings settings);

    /// Stores a report. Returns false and ignores it if it is from this VM, is a digest of this
    /// VM's domain or a VM report of another domain, or is not newer than the stored one of its
    /// sender.
    bool take(const peer_report& report, time_point now);
    /// Adds an address to report to even if no report has come from it.
    void add_address(const std::string& address, const failure_domain_id& domain);
    /// Known addresses by failure domain, that of this VM included. The list only grows, and says
    /// nothing about which VMs are live, so VMs with different views of that agree on it.
    [[nodiscard]] std::map<failure_domain_id, std::vector<std::string>> registered() const;
    void remove_expired(time_point now);

    [[nodiscard]] std::size_t live_members(time_point now) const;
    /// Number of live members and live other domains.
    [[nodiscard]] std::size_t live(time_point now) const;
    /// Number of other VMs of this domain that have reported or have a known address, live or not.
    [[nodiscard]] std::size_t known_members() const;
    /// Number of other VMs of all domains that have reported or have a known address, live or not.
    [[nodiscard]] std::size_t known() const;
    /// Time between two reports of a VM. Grows with the number of live members, so that the rate of
    /// datagrams that a VM sends and receives stays bounded.
    [[nodiscard]] duration report_interval(time_point now) const;
    /// Time between two digests. Bounds the rate of digests, which each member receives.
    [[nodiscard]] duration digest_interval() const;
    /// Recipients of the report of this round: all live members and one address that is not live.
    [[nodiscard]] std::vector<std::string> addresses(std::uint64_t round, time_point now) const;
    [[nodiscard]] std::vector<std::string> member_addresses(time_point now) const;
    /// Names of the live members.
    [[nodiscard]] std::vector<std::string> member_names(time_point now) const;
    /// Recipients of the digest of this round: the speaker of each other domain or, if none is
    /// live, one of the domain's known addresses.
    [[nodiscard]] std::vector<std::string> digest_addresses(std::uint64_t round,
                                                            time_point now) const;
    /// The newest report of each live member or, for scope `domain`, of each other live domain.
    [[nodiscard]] std::vector<received_report> received(report_scope scope, time_point now) const;
    /// Requests in flight by upstream: of the live members, and with those of the other domains.
    [[nodiscard]] std::map<upstream_id, std::uint32_t> member_loads(time_point now) const;
    [[nodiscard]] std::map<upstream_id, std::uint32_t> loads(time_point now) const;
    /// Address of the first live member that is not leaving; nothing if that is this VM.
    [[nodiscard]] std::optional<std::string> speaker_address(bool leaving, time_point now) const;
    /// Number of live members before this VM that are not leaving: those with lower names, or all
    /// if this VM is leaving.
    [[nodiscard]] std::size_t member_rank(bool leaving, time_point now) const;
    /// Number of live VMs that precede this one for tasks that only one VM of all needs to do.
    [[nodiscard]] std::size_t rank(bool leaving, time_point now) const;
    /// Address of the live member that has read a stream furthest beyond `position`. If there is no
    /// such member, the speaker gets the address of another domain's speaker that has.
    [[nodiscard]] std::optional<std::string> address_of_peer_ahead(followed_stream stream,
                                                                   log_position position,
                                                                   bool speaker,
                                                                   time_point now) const;

    /// Address of a live VM with a later configuration than `known` that has read the operators'
    /// records no further than `position`: the store has lost that configuration.
    [[nodiscard]] std::optional<std::string>
    address_with_lost_configuration(revision known, log_position position, time_point now) const;

private:
    struct peer {
        peer_report report;
        time_point received_at;
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
