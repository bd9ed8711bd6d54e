#pragma once

#include "admission/load_admission.hpp"
#include "base/error.hpp"
#include "base/metrics.hpp"
#include "calibration/engine_calibration.hpp"
#include "proxy/catalog.hpp"
#include "proxy/domain_bills.hpp"
#include "proxy/evacuations.hpp"
#include "proxy/model_cascade.hpp"
#include "proxy/peer_table.hpp"
#include "proxy/reading_schedule.hpp"
#include "proxy/region_policy.hpp"
#include "proxy/replica_directory.hpp"
#include "proxy/rollout_tracker.hpp"
#include "proxy/session_affinity.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "retry/hedge_control.hpp"
#include "retry/retry_policy.hpp"
#include "routing/cold_limiter.hpp"
#include "routing/link_budget.hpp"
#include "routing/prefix_index.hpp"
#include "routing/replica_chooser.hpp"
#include "routing/replica_pool.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

// Decides on the proxied requests of one VM, and keeps the state that the decisions depend on. Uses
// no socket, thread or clock: callers pass times of boot_clock_source(), which include the time
// that the VM was suspended.
//
//   proxy_core core{settings, metrics, now};
//   core.set_catalog(catalog);
//   core.confirm(asked_at);                          // a read found nothing newer
//   auto admitted = core.admit(request, now);        // authenticates and routes
//   auto placed = core.place(*admitted, request, history, now);
//   core.finish(*placed, outcome, now);

namespace wagtailhitch {

/// Part of a prompt that may be shared with other requests.
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};
};

/// The parts of a caller's request that decisions depend on; its framing has been validated.
struct proxied_request {
    std::string id; ///< the caller's id of this attempt
    std::string host;
    std::string path; ///< with query
    std::string key;  ///< credential; empty when the caller sent none
    std::string session;
    std::string model; ///< as the caller named it
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    std::vector<prompt_part> parts; ///< in prompt order; the last is the request's own
    std::optional<duration> deadline;
    std::optional<std::uint64_t> resume_after; ///< last event the caller has received
    std::size_t body_bytes{0};
    time_point received_at;
};

struct admission {
    std::shared_ptr<const proxy_catalog> catalog; ///< keeps `route` alive
    const proxy_route* route{nullptr};
    team_id team; ///< the holder of the key, if has_key
    std::string service;
    std::uint32_t priority{0};      ///< 0 is served first
    std::uint64_t affinity_hash{0}; ///< hash of the session, or of the request id without one
    time_point answer_deadline;     ///< when the final answer is due
    allowed_regions regions;        ///< of the route and the team
    bool has_key{false};            ///< admitted by a team's key, which may be withdrawn
};

/// The earlier attempts of one request.
struct send_history {
    std::vector<replica_index> tried;
    std::uint32_t sends{0};           ///< replicas that may have received it
    std::string software;             ///< that sent part of an answer; empty before
    std::optional<std::size_t> model; ///< index into the route's models, once chosen
    bool model_fixed{false};          ///< the answer has begun, or a larger model was asked for
};

struct placement {
    dispatch_ticket ticket;
    upstream_id upstream;
    std::uint64_t replica_started_ms{0}; ///< identifies the replica's run
    std::string address;
    std::string software;
    version_id version; ///< software_version_id() of the service
    locality distance{locality::domain};
    std::optional<std::size_t> model; ///< index into the route's models
    duration predicted{};
    duration expected_first_token{};
    bool on_trial{false}; ///< its software is being rolled out
    engine_key engine;
    first_token_inputs inputs;      ///< that `predicted` depends on
    bool waits{false};              ///< all slots of the replica are believed to be in use
    std::uint64_t send{0};          ///< number of the send at the cold limiter
    std::size_t load_kind{0};       ///< of the request at load_admission
    std::uint32_t output_tokens{0}; ///< that the caller expects
};

struct proxy_settings {
    process_id self;
    std::string report_address; ///< where this VM receives reports
    failure_domain_id failure_domain;
    region_id region;
    std::map<failure_domain_id, region_id> regions;
    /// Longest time for which a key is used after the start of the read that last confirmed it.
    /// Shorter than the deployment's limit for revoked keys by the travel time of a request.
    duration key_validity{4s};
    /// Unknown keys and paths get a definitive refusal only if the configuration was confirmed
    /// within this time; otherwise the VM answers not_ready.
    duration definitive_refusal_age{2s};
    duration session_affinity{5s};
    /// For this time after the start, requests wait for the first reads instead of being refused.
    /// A VM has read what it needs a quarter of a second after its start if the store answers, and
    /// callers whose connections broke with a lost VM have no second retry.
    duration startup_wait{500ms};
    /// A peer that has not reported for this time counts as gone.
    duration peer_timeout{2s};
    reading_settings reading{};
    /// Rate of the link between regions that all VMs share; 0: unknown, and not limited.
    double link_bytes_per_second{0};
    /// Repeats that all VMs together may make within the budget's window beyond the share of
    /// requests, and the smallest number of VMs to divide them among.
    double repeat_slack{50};
    double minimum_vm_count{3};
    double vm_growth_factor{1.4}; ///< multiple of the known VMs, as further ones may join
    chooser_settings chooser{};
    pool_settings pool{};
    directory_settings directory{};
    service_rollout_settings rollout{};
    model_cascade_settings models{};
    calibration_settings calibration{};
    /// Time between two reports of what was learned about the engines.
    duration calibration_interval{1s};
    quarantine_settings quarantine{};
    /// Time for which reports tell that a connection to a replica failed.
    duration unreachable_report_time{3s};
    /// Time for which reports tell that a replica is leaving.
    duration leaving_report_time{10s};
    retry_settings retry{};
    hedging_settings hedging{};
    domain_bill_settings bills{};
    cold_limiter_settings cold{};
    /// Bound of the requests in a second that all VMs send to a cold replica, as a multiple of the
    /// rate that it takes and a constant.
    double cold_overshoot{1};
    double cold_slack{0};
    /// Longest time until a VM has read what a replica writes of itself.
    duration record_delay{4s};
    load_admission_settings admission{};
    double prefill_cost{0}; ///< money units per 1000 prompt tokens
    std::size_t prefix_entries{std::size_t{16} * 1024};
    std::uint64_t seed{1};
};

/// What became of an attempt: its answer went on past its beginning, or at the beginning it was
/// dropped for a larger model or lost with the connection, or the connection was refused.
enum class part_outcome { survived, dropped, lost, connection_refused };

/// The attempt of a request that has not been answered yet.
struct waiting_attempt {
    const placement& placed;
    std::span<const part_key> parts; ///< of the prompt
    time_point sent_at;
};

/// A second attempt of a request beside the first, or the reason for which there is none.
struct hedge_placement {
    std::optional<placement> placed;
    hedge_refusal refusal{hedge_refusal::none};
    std::optional<time_point> ask_again; ///< when the target is expected to be in danger
    duration gain{};                     ///< expected, of `placed`
};

struct readiness {
    bool ready{false};
    std::string reason; ///< why the VM is not ready
};

class proxy_core {
public:
    proxy_core(proxy_settings settings, metrics& registry, time_point now);

    // ---- configuration, replicas and peers
    /// Returns false if the catalog is not newer than the current one.
    bool set_catalog(std::shared_ptr<const proxy_catalog> catalog);
    /// Records that a read of the configuration which began at `asked_at` found nothing newer than
    /// the current one. It confirms nothing while a peer knows a later configuration that the store
    /// has lost.
    void confirm(time_point asked_at);
    /// Records that the stream has been read up to `read_to` and that its last record with a change
    /// ends at `changed_at`.
    void note_position(followed_stream stream, log_position changed_at, log_position read_to);
    /// Records that a read which began at `asked_at` found no further records.
    void note_read(followed_stream stream, time_point asked_at);
    /// Whether a replica announces software that may belong to a roll-out whose order this VM has
    /// not read yet.
    [[nodiscard]] bool has_unverified_software() const;
    /// Whether the operators' records must be read at once: a replica's software is unverified and
    /// this VM reads for its failure domain.
    [[nodiscard]] bool must_read_operators(time_point now) const;
    /// Address of a VM from which to fetch records that this one misses.
    [[nodiscard]] std::optional<std::string> peer_with_newer_records(followed_stream stream,
                                                                     time_point now) const;
    /// Address of a VM that knows a later configuration than this one, which the store has lost.
    [[nodiscard]] std::optional<std::string> peer_with_lost_configuration(time_point now) const;
    /// Time until this VM reads the stream, unless another VM confirms it; see reading_schedule.
    [[nodiscard]] duration until_read(followed_stream stream, time_point now) const;
    /// Pause before the next read of the store after `failures` (at least 1) failed ones in a row.
    [[nodiscard]] duration until_retry(unsigned failures, time_point now) const;
    void set_configuration_age_limits(duration key_validity, duration definitive_refusal_age);
    /// Failure domains whose replicas get no new requests. Changes take effect at once.
    [[nodiscard]] const evacuations& evacuated_domains() const { return evacuations_; }
    /// The operators' order to evacuate a failure domain is in force, or was withdrawn. Returns
    /// false if this was known.
    bool set_evacuated(const failure_domain_id& domain, bool evacuated, time_point now);
    /// Replaces all orders by the ones in force. Returns the domains whose order began or ended.
    std::vector<failure_domain_id> replace_evacuations(const std::set<failure_domain_id>& in_force,
                                                       time_point now);
    /// This VM's requests at the replicas of a failure domain.
    [[nodiscard]] std::uint32_t requests_running_in(const failure_domain_id& domain) const;
    replica_directory& replicas() { return directory_; }
    [[nodiscard]] const replica_directory& replicas() const { return directory_; }
    rollout_tracker& rollouts() { return rollouts_; }
    /// Removes a replica at whose address another one answered, until it starts again.
    void note_address_reused(const upstream_id& id, time_point now);
    /// Returns false if a report of the same VM that is at least as new was taken before.
    bool take_report(const peer_report& report, time_point now);
    /// Creates the report for the members of the failure domain, or the digest for other domains.
    [[nodiscard]] peer_report make_report(report_scope scope, time_point now);
    /// Number of live VMs of the failure domain that precede this one.
    [[nodiscard]] std::size_t member_rank(time_point now) const
    {
        return peers_.member_rank(stopping_, now);
    }
    /// Whether this VM sends the digest of its failure domain.
    [[nodiscard]] bool sends_domain_digest(time_point now) const;
    /// Does the periodic work; returns the roll-out states that this VM should publish now.
    std::vector<rollout_publication> tick(time_point now);
    /// Makes ready() report that the VM is shutting down. Answers to requests that are admitted
    /// from now on are due at `last_answer_at` at the latest.
    void begin_stop(time_point last_answer_at);
    /// Refuses new requests, so that those in progress can end.
    void refuse_new_requests() { refuses_new_requests_ = true; }

    // ---- requests
    /// Authenticates a request and finds its route and service. Errors, all not_run: not_ready,
    /// unknown_path, unknown_team, shutting_down, bill_buffer_full.
    [[nodiscard]] expected<admission> admit(const proxied_request& request, time_point now) const;
    /// Checks again, when an admitted request is about to be sent, that its key is still known to
    /// be valid. Returns the refusal (not_ready, not_run) otherwise.
    [[nodiscard]] std::optional<error> check_permission(const admission& admitted,
                                                        time_point now) const;
    /// Keys of the request's prompt parts, in prompt order; the last is the request's own.
    [[nodiscard]] static std::vector<part_key> part_keys(const admission& admitted,
                                                         const proxied_request& request);
    /// Returns the refusal (prompt_quarantined, not_run) of a request with a part that crashes
    /// replicas.
    [[nodiscard]] std::optional<error> check_parts(const proxied_request& request,
                                                   std::span<const part_key> parts,
                                                   time_point now) const;
    /// Records what became of an attempt, as evidence on the parts of its prompt.
    void note_parts(std::span<const part_key> parts, const placement& placed, part_outcome outcome,
                    time_point now);
    prompt_quarantine& quarantine() { return quarantine_; }
    /// The replica says in an answer that it is about to stop: this VM sends it nothing more, and
    /// the other VMs hear of it. Returns false if this was known.
    bool note_replica_leaving(const placement& placed, time_point now);
    /// The replica asks this VM for no requests. Returns false if it was set aside for as long.
    bool note_quiet(const placement& placed, duration quiet, time_point now);
    /// Whether the configuration and the evacuations in force let a request run in the failure
    /// domain.
    [[nodiscard]] bool allows_domain(const admission& admitted,
                                     const failure_domain_id& domain) const;
    /// Whether an admitted request may be sent to a replica. Every choice of a replica asks this,
    /// and may_use() once more right before the first byte.
    [[nodiscard]] bool permits(const admission& admitted, replica_index replica,
                               time_point now) const;
    /// The connection to the replica of an attempt failed or was lost: it may start again, and is
    /// then cold.
    void note_unreachable(const placement& placed, time_point now);
    /// The replica of an attempt says in an answer that it is cold for this time.
    void note_cold(const placement& placed, duration left, time_point now);
    /// The VMs that are registered in the store have been read.
    void note_vms_known() { vms_known_ = true; }
    [[nodiscard]] bool is_cold(const upstream_id& id, time_point now) const;
    /// A replica that this VM takes for cold from now on, or no longer does.
    struct cold_change {
        upstream_id replica;
        bool cold{false};
    };
    /// Returns the changes since the last call, as seen by tick().
    [[nodiscard]] std::vector<cold_change> take_cold_changes()
    {
        return std::exchange(cold_changes_, {});
    }
    /// Counts a request whose first byte is about to be written. Returns false if its replica has
    /// turned cold and takes no further request of this VM now.
    bool begin_send(const placement& placed, time_point now);
    /// Whether a placed request may still be written to its replica.
    [[nodiscard]] bool may_use(const admission& admitted, const placement& placed,
                               time_point now) const;
    /// Time until the first replica that a request may use is no longer set aside; nothing if none
    /// is set aside.
    [[nodiscard]] std::optional<duration>
    until_released(const admission& admitted, const send_history& history, time_point now) const;
    /// Adds up to half of the wait, so that callers do not all return at once.
    [[nodiscard]] duration spread(duration wait);
    /// Chooses a replica for the request and counts the attempt in its load until finish(). Errors,
    /// all not_run: no_upstream, queue_full, deadline_unreachable.
    /// `accepts`, if given, may reject the choice with no_upstream before anything is counted.
    expected<placement> place(const admission& admitted, const proxied_request& request,
                              const send_history& history, time_point now,
                              const std::function<bool(const choice&)>& accepts = {});
    /// Places a second attempt of a request whose first one is late, if the operators' limit and
    /// all limits of a repeat allow it and the answer is expected sooner. Counts it against the
    /// operators' limit; the caller counts the repeat.
    hedge_placement place_hedge(const admission& admitted, const proxied_request& request,
                                const send_history& history, const waiting_attempt& first,
                                time_point now);
    /// A second attempt was answered before the first.
    void count_hedge_won(const admission& admitted);
    /// Kind of request by which the times of second attempts are learned.
    [[nodiscard]] static hedged_kind kind_of(const admission& admitted, const placement& placed);
    hedge_control& hedging() { return hedges_; }
    [[nodiscard]] const hedge_control& hedging() const { return hedges_; }
    /// Whether an error of place() is a decision under load, with the time after which the caller
    /// can be served. The request must not wait in this VM then.
    [[nodiscard]] bool refused_for_load(const error& reason) const
    {
        return admission_.enabled() && reason.at == step::admit;
    }
    void count_request(const admission& admitted, time_point now);
    /// Records the only bill of a request. Without lines nothing ran, and nothing is billed.
    void add_bill(const admission& admitted, bill_outcome outcome, std::vector<bill_line> lines,
                  time_point now);
    domain_bills& bills() { return bills_; }
    /// Returns the appends to the stream of bills and the messages to other VMs that are due.
    std::vector<domain_bill_output> take_bill_steps(time_point now);
    /// Returns the bill line of one attempt, with its cost if the route chooses the model.
    [[nodiscard]] bill_line bill_line_of(const admission& admitted, const placement& placed,
                                         std::uint64_t prompt_tokens,
                                         std::uint64_t generated_tokens) const;
    /// Records the time from sending a request to the head of its answer.
    void note_first_token(const placement& placed, duration first_token, time_point now);
    /// Ends the attempt that place() began.
    void finish(const placement& placed, const attempt_outcome& outcome, time_point now);
    /// Whether an answer took much longer to its first token than established software of the
    /// service takes for a prompt of which nothing is cached.
    [[nodiscard]] bool is_slow_first_token(const placement& placed, double prompt_tokens,
                                           duration first_token, time_point now);
    /// Records a complete answer or a failure of the upstream as evidence on its software.
    void note_answer(const admission& admitted, const placement& placed,
                     const answer_quality& quality);
    [[nodiscard]] retry_decision decide_retry(const admission& admitted,
                                              const failed_attempt& failure, time_point now);
    /// Returns the larger model that is to answer the request instead, or nothing if an answer with
    /// this confidence goes to the caller.
    [[nodiscard]] std::optional<std::size_t> escalate(const admission& admitted,
                                                      const proxied_request& request,
                                                      const placement& placed, double confidence,
                                                      const send_history& history, time_point now);
    void spend_repeat(const admission& admitted, time_point now);
    [[nodiscard]] bool repeats_left(const admission& admitted, time_point now);
    /// Whether a request that may have run may be sent once more: its route and the budget allow
    /// it, and its key is still known to be valid.
    [[nodiscard]] bool may_run_again(const admission& admitted, const send_history& history,
                                     time_point now);

    // ---- state
    [[nodiscard]] readiness ready(time_point now) const;
    /// Whether the VM has just started and cannot serve requests yet.
    [[nodiscard]] bool starting(time_point now) const
    {
        return now - started_at_ < settings_.startup_wait && !stopping_ && !ready(now).ready;
    }
    [[nodiscard]] const std::shared_ptr<const proxy_catalog>& catalog() const { return catalog_; }
    [[nodiscard]] duration configuration_age(time_point now) const { return now - confirmed_at_; }
    peer_table& peers() { return peers_; }
    /// Addresses to send the last report to.
    [[nodiscard]] std::vector<std::string> report_addresses(report_scope scope,
                                                            time_point now) const
    {
        return scope == report_scope::vm ? peers_.addresses(report_sequence_, now)
                                         : peers_.digest_addresses(report_sequence_, now);
    }
    [[nodiscard]] std::size_t live_peers(time_point now) const { return peers_.live(now); }
    [[nodiscard]] std::mt19937_64& generator() { return generator_; }
    /// Sets a hook that is called when the next report should go to the members at once: a session
    /// that a trial would expose stays on its old software, and its next request may reach another
    /// VM.
    void on_urgent_report(std::function<void()> hook) { urgent_report_ = std::move(hook); }

private:
    [[nodiscard]] error refusal(error_code code, step at, std::string detail,
                                std::optional<duration> retry_after) const;
    void confirm_by_peer(const peer_report& report);
    [[nodiscard]] bool has_recent_contact(time_point now) const;
    [[nodiscard]] bool is_verified_software(const std::string& service,
                                            const std::string& software) const;
    [[nodiscard]] std::string software_without_rollout(const admission& admitted) const;
    /// Software versions of the request's service that have a replica in an allowed domain.
    [[nodiscard]] std::vector<std::string> allowed_software(const admission& admitted) const;
    /// The allowed regions by the configuration in force, which may be newer than the admission.
    [[nodiscard]] allowed_regions current_regions(const admission& admitted) const;
    [[nodiscard]] region_id region_of(const failure_domain_id& domain) const;
    /// Whether no replica of this VM's region may serve the request.
    [[nodiscard]] bool remote_only(const admission& admitted) const;
    /// Explains why no replica could be chosen, if regions or evacuations are the reason.
    [[nodiscard]] std::optional<error> domain_refusal(const admission& admitted) const;
    /// The bound and the domain of a replica that may be cold; nothing if its service has no bound.
    [[nodiscard]] std::optional<cold_limiter::replica>
    cold_target(const replica_directory::entry& entry) const;
    void note_evacuation_ended(const failure_domain_id& domain, time_point now);
    /// Versions for requests that do not go to the target; empty if only the target can serve them.
    /// `allowed`: allowed_software() of the request.
    [[nodiscard]] std::vector<std::string>
    software_besides_target(const admission& admitted, const service_rollout& rollout,
                            const std::vector<std::string>& allowed) const;
    [[nodiscard]] std::string choose_software(const admission& admitted,
                                              const proxied_request& request,
                                              const send_history& history, time_point now) const;
    [[nodiscard]] std::optional<std::size_t>
    choose_model(const admission& admitted, const proxied_request& request,
                 const send_history& history, const std::string& software, time_point now);
    /// `chain`: chained hashes of the prompt's shared parts for the model.
    expected<choice> choose_replica(const admission& admitted, const proxied_request& request,
                                    const send_history& history, const std::string& software,
                                    std::optional<std::size_t> model,
                                    const std::vector<std::uint64_t>& chain, time_point now);
    /// What was learned about the engines that `software` of a service stands for.
    [[nodiscard]] first_token_model timing_of(const std::string& service,
                                              const std::string& software, std::size_t model,
                                              time_point now);
    /// Expected time to the first token of a model at the replica that would be chosen for it.
    [[nodiscard]] duration expected_first_token(const admission& admitted,
                                                const std::string& software,
                                                const proxied_request& request, std::size_t model,
                                                time_point now);
    /// Returns the refusal of a request that the service cannot serve under its present load, or
    /// the kind of the request for load_admission::note_answer().
    expected<std::size_t> check_pressure(const admission& admitted, const proxied_request& request,
                                         const send_history& history, const std::string& software,
                                         const choice& chosen, time_point now);
    /// Load of the replicas that a request may use.
    [[nodiscard]] service_occupancy
    occupancy_for(const admission& admitted, const std::string& software, time_point now) const;
    void note_service_time(const placement& placed, const attempt_outcome& outcome);
    void count_verdict(const admission& admitted, const load_verdict& verdict);
    /// Why a request must not be sent a second time now, whichever replica is chosen.
    [[nodiscard]] hedge_refusal check_hedge(const admission& admitted,
                                            const proxied_request& request,
                                            const send_history& history,
                                            const waiting_attempt& first, time_point now);
    /// Whether a second attempt may go to the chosen replica. `gain`: how much sooner it is
    /// expected to be answered than the first.
    [[nodiscard]] hedge_refusal judge_hedge(const admission& admitted, const choice& chosen,
                                            duration gain, time_point now) const;
    void refresh_cold_replicas(time_point now);
    /// Whether the request may use replicas, and all of them are cold.
    [[nodiscard]] bool has_only_cold_replicas(const admission& admitted, time_point now) const;
    void publish_calibration(time_point now);
    void take_leaving(const peer_report& report, time_point now);
    void take_quarantine(const peer_report& report, time_point now);
    /// Adds the evidence on prompt parts, and the quarantines, to a report.
    void fill_quarantine(peer_report& report, time_point now) const;
    [[nodiscard]] std::optional<replica_index>
    home_of(const admission& admitted, const version_id& version, std::uint64_t prefix) const;
    retry_budget& budget_of(const std::string& service, time_point now);
    /// Number of VMs that may share the limits of the whole deployment.
    [[nodiscard]] double sharing_vms() const;
    /// This VM's share of `repeat_slack`.
    [[nodiscard]] double repeat_capacity() const;
    void remember_session(std::uint64_t session, const placement& placed,
                          const service_rollout* rollout, time_point now);
    void refresh_pool(time_point now);
    void refresh_loads(time_point now);
    void evaluate_rollouts(time_point now);

    proxy_settings settings_;
    metrics& counters_;
    time_point started_at_;
    std::mt19937_64 generator_;
    std::shared_ptr<const proxy_catalog> catalog_;
    /// Stands for a confirmation that never took place. Far before the epoch of the clock, which
    /// may be the boot of the VM a moment ago.
    static constexpr time_point never_confirmed{-24h};
    time_point confirmed_at_{never_confirmed};
    time_point confirmed_before_epoch_{never_confirmed}; ///< last, before the store's epoch began
    /// Of a read whose confirmation waits for the first report of another VM.
    std::optional<time_point> unchecked_confirmation_;
    /// How far a stream has been read, and the start of the read that last confirmed it.
    struct followed_stream_state {
        log_position changed_at;
        log_position read_to;
        time_point confirmed_at{never_confirmed};
    };
    [[nodiscard]] const followed_stream_state& view(followed_stream stream) const
    {
        return streams_[static_cast<std::size_t>(stream)];
    }
    void confirm(followed_stream stream, log_position changed_at, time_point asked_at);
    /// Whether this VM has just started and has not heard yet which configuration others know.
    [[nodiscard]] bool awaits_first_report(time_point now) const;
    void confirm_unchecked(time_point now);
    std::array<followed_stream_state, 2> streams_{}; ///< indexed by followed_stream
    reading_schedule schedule_;
    bool stopping_{false};
    time_point last_answer_at_{time_point::max()}; ///< set while stopping
    bool refuses_new_requests_{false};
    replica_directory directory_;
    evacuations evacuations_;
    replica_pool pool_;
    replica_chooser chooser_;
    prefix_index prefixes_;
    cold_limiter cold_;
    std::set<upstream_id> cold_replicas_; ///< at the last tick
    std::vector<cold_change> cold_changes_;
    bool vms_known_{false};
    std::map<failure_domain_id, time_point> evacuation_ended_at_;
    std::map<upstream_id, time_point> unreachable_at_; ///< latest failed connection
    link_budget link_;
    prompt_quarantine quarantine_;
    load_admission admission_;
    retry_policy retries_;
    hedge_control hedges_;
    model_cascade cascade_;
    domain_bills bills_;
    std::uint64_t next_bill_{1};
    std::map<std::string, retry_budget> retry_budgets_;
    engine_calibration calibration_;
    std::array<time_point, 2> next_calibration_report_{}; ///< by report_scope
    time_point next_calibration_metrics_{};
    rollout_tracker rollouts_;
    peer_table peers_;
    session_affinity sessions_;
    std::function<void()> urgent_report_;
    std::uint64_t report_sequence_{0};
    std::array<time_point, 32> reports_made_at_{}; ///< the latest, indexed by sequence
};

} // namespace wagtailhitch
