#pragma once

#include "base/clock.hpp"
#include "config/fold.hpp"
#include "node/messages.hpp"

#include <deque>
#include <random>
#include <variant>

// Decides which VMs read the log stream `config` directly and which receive it through a relay, and
// when a VM is ready to serve.
//
//   config_follower follower{settings, config_fold{fold_settings}, clock()};
//   follower.set_members(live, now, out);       // whenever membership changes
//   follower.on_log(batch, now, out);           // input log_batch
//   follower.on_request(peer, request, now, out);
//   follower.tick(now, out);                    // at least every 200 ms
//   if (follower.readiness(now).ready) { ... }
//
// Two VMs of each failure domain, the relays, read the log. The other VMs poll one of them every
// second, and the relays push new records to them as the records arrive.

namespace wagtailhitch {

/// Asks a peer for records from an offset; the `log_request` message. The peer returns
/// `correlation_id` unchanged in its answer.
struct records_request {
    log_offset from{0};
    bool snapshot{false}; ///< the sender lacks records before `from` that the log no longer holds
    std::uint64_t correlation_id{0};

    friend bool operator==(const records_request&, const records_request&) = default;
};

/// Consecutive records and the sender's progress; the `log_records` message.
struct records_message {
    log_offset next{0}; ///< the sender's folded_through()
    log_offset oldest{0};
    std::vector<log_record> records;
    bool ready{false};
    /// Time since the sender's fold was last known to have reached the log's head.
    std::optional<duration> confirmed_age;
    std::optional<std::uint64_t> correlation_id; ///< of the answered request; empty when pushed
};

struct domain_member {
    vm_id vm;
    bool same_domain{true};

    friend bool operator==(const domain_member&, const domain_member&) = default;
};

// ---- outputs

/// Start the long poll on `config` at an offset, or restart it there; translated to log_follow.
struct start_following {
    log_offset from{0};
};
struct stop_following {};
struct send_request {
    vm_id peer;
    records_request message;
};
struct send_records {
    vm_id peer;
    records_message message;
};
/// Sends the complete state to a peer that lacks expired records; the `snapshot` message.
struct send_snapshot {
    vm_id peer;
    config_snapshot snapshot;
    std::optional<std::uint64_t> correlation_id;
};
/// How the fold processed a record, for reports and counters.
struct fold_event {
    config_output event;
};

using follow_output = std::variant<start_following, stop_following, send_request, send_records,
                                   send_snapshot, fold_event>;

struct config_readiness {
    bool ready{false};
    std::string reason; ///< a complete sentence when not ready, else empty
};

struct follow_settings {
    vm_id self;
    std::uint64_t seed{0};
    duration poll_interval{std::chrono::seconds{1}};  ///< between polls of a relay
    duration stale_after{std::chrono::seconds{3}};    ///< then other peers and the log are read too
    duration cut_off_after{std::chrono::seconds{9}};  ///< then versions with `stop` are not served
    duration log_grace{std::chrono::seconds{2}};      ///< at boot, before peers alone suffice
    duration max_log_jitter{std::chrono::seconds{2}}; ///< delay before a direct read of the log
    std::size_t relays{2};
    std::size_t cache_records{4096};
    std::size_t cache_bytes{std::size_t{1024} * 1024};
};

class config_follower {
public:
    using outputs = std::vector<follow_output>;

    config_follower(follow_settings settings, config_fold fold, time_point now);

    /// Sets the live VMs; this VM may be among them. `listed` is the number of other VMs in the
    /// deployment, including those that do not respond.
    void set_members(std::vector<domain_member> live, std::size_t listed, time_point now,
                     outputs& out);
    void on_log(const log_batch& batch, time_point now, outputs& out);
    void on_log_failed(time_point now, outputs& out);
    void on_request(const vm_id& peer, const records_request& request, time_point now,
                    outputs& out);
    void on_records(const vm_id& peer, const records_message& message, time_point now,
                    outputs& out);
    void on_snapshot(const vm_id& peer, const config_snapshot& snapshot, time_point now,
                     outputs& out);
    void tick(time_point now, outputs& out);

    [[nodiscard]] const config_fold& fold() const { return fold_; }
    /// A VM that is ready stays ready; cut_off() reports a stale configuration.
    [[nodiscard]] config_readiness readiness() const;
    /// The last time at which the fold was known to have reached the log's head.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
    /// True without a confirmation for `cut_off_after`; versions with when_cut_off `stop` are then
    /// not served.
    [[nodiscard]] bool cut_off(time_point now) const;
    [[nodiscard]] bool following_log() const { return following_; }
    [[nodiscard]] bool relay() const;

private:
    struct peer_view {
        log_offset next{0};
        bool ready{false};
        time_point heard_at;
    };

    void apply(const std::vector<log_record>& records, std::vector<log_record>& new_records,
               outputs& out);
    void report(std::vector<config_output> events, outputs& out);
    void cache_record(const log_record& record);
    void reset_cache();
    void push(const std::vector<log_record>& new_records, time_point now, outputs& out) const;
    void confirm(time_point at, time_point now);
    void accept_answer(const vm_id& peer, const records_message& message, time_point now);
    [[nodiscard]] records_message answer_from(log_offset from, time_point now) const;
    [[nodiscard]] bool is_recent_request(std::uint64_t correlation_id, time_point now) const;
    void ask(const vm_id& peer, time_point now, outputs& out);
    void ask_peers(time_point now, outputs& out);
    void decide_following(time_point now, outputs& out);
    void decide_readiness(time_point now);
    [[nodiscard]] bool stale(time_point now) const;
    [[nodiscard]] std::vector<vm_id> peers_to_ask(time_point now);

    follow_settings settings_;
    config_fold fold_;
    std::mt19937_64 random_;
    time_point started_at_;
    std::vector<domain_member> members_;
    std::vector<vm_id> relays_; ///< of the failure domain, best first; may contain this VM
    std::size_t listed_{0};
    std::map<vm_id, peer_view> peers_;
    std::deque<log_record> cache_;
    std::size_t cache_bytes_{0};
    std::optional<time_point> confirmed_at_;
    std::optional<time_point> confirmed_by_peer_at_; ///< when a peer's confirmation arrived
    std::optional<time_point> log_heard_at_;
    bool log_failed_{false};
    bool ready_{false};
    bool following_{false};
    bool reads_log_directly_{false}; ///< because the relays do not deliver
    std::optional<time_point> direct_read_at_;
    std::optional<time_point> asked_at_;
    std::size_t next_relay_{0};
    std::deque<std::uint64_t> correlation_ids_;
};

} // namespace wagtailhitch
