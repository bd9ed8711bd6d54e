#pragma once

#include "base/error.hpp"
#include "calibration/first_token_fit.hpp"
#include "routing/link_budget.hpp"
#include "routing/prefix_index.hpp"
#include "routing/replica_pool.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string_view>

// Selects the replica for an attempt (design 3.9).
//
//   auto choice = chooser.choose(pool, prefixes, link, request, now, generator);
//   if (choice) {
//       link.spend(choice->link_bytes, now);
//       auto ticket = pool.begin(choice->replica, now);
//   }

namespace wagtailhitch {

/// `expected_time` is the default; the others are baselines for comparison.
enum class choice_policy { expected_time, random, round_robin, least_in_flight, two_choices };

template<>
inline constexpr auto enum_names<choice_policy> = name_table<choice_policy, 5>{{
    {choice_policy::expected_time, "expected_time"},
    {choice_policy::random, "random"},
    {choice_policy::round_robin, "round_robin"},
    {choice_policy::least_in_flight, "least_in_flight"},
    {choice_policy::two_choices, "two_choices"},
}};

struct chooser_settings {
    choice_policy policy{choice_policy::expected_time};
    std::uint32_t samples{4};
    double affinity_load_bound{1.25}; ///< load limit of a prefix holder, relative to the pool mean
    double latency_weight{1};
    double cost_weight{0};             ///< seconds of first-token time equivalent to one money unit
    double link_cost_per_mb{0};        ///< money units per 10^6 bytes over the paid link
    double region_cost_per_mb{0};      ///< the same, between failure domains of a region
    double doubtful_match_weight{0.8}; ///< weight of a doubtful prefix match, 0 to 1
    std::uint32_t sharing_vms{1};      ///< VMs that use the same replicas; see estimate_load()
    /// Fraction of this VM's change in load since the report that each other VM is assumed to add,
    /// 0 to 1.
    double mirrored_share{0.25};
    /// Other failure domains of the region are tried if the best expected first-token time exceeds
    /// this.
    duration region_after{100ms};
    /// Other regions are tried if the best expected first-token time exceeds this.
    duration remote_after{250ms};
    duration domain_latency{500us};         ///< one-way, within the failure domain
    duration region_latency{2ms};           ///< one-way, to other failure domains of the region
    duration remote_latency{30ms};          ///< one-way, to other regions
    duration base_first_token{30ms};        ///< of an idle replica of speed 1, for an empty prompt
    double prefill_tokens_per_second{8000}; ///< of a replica of speed 1
    duration assumed_total{2s};             ///< total time of an attempt before any was measured
    std::uint32_t block_tokens{256};        ///< prompt tokens per prefix block
    duration retry_after{1s};               ///< returned when all replicas are temporarily excluded
};

/// Input of one selection. Exactly one of `version` and `service` is set. The caller has checked
/// that the team may use the version and that the version is in force.
struct choice_request {
    const version_id* version{nullptr};
    std::string_view service{};
    std::span<const replica_index> excluded{}; ///< tried by earlier attempts of the request
    /// Whether the request may be sent to a replica; nullptr: to any.
    const std::function<bool(replica_index)>* permitted{nullptr};
    /// Only replicas of other regions may serve the request, so the link's budget, which limits
    /// optional remote sends, does not hold it back.
    bool remote_only{false};
    std::span<const std::uint64_t> prefix_hashes{};
    std::uint32_t prompt_tokens{0};
    double request_bytes{0};     ///< estimate; sent over the link if the replica is remote
    double answer_bytes{0};      ///< estimate; received over the link if the replica is remote
    double cost_per_1k_input{0}; ///< of the version; cached prompt tokens cost nothing
    /// Tokens of each prefix block; if empty, every block has `block_tokens` of the settings.
    std::span<const std::uint32_t> block_sizes{};
    /// Replica that other VMs also prefer for this prefix, and the number of blocks that it is
    /// assumed to hold when the index has no match for it.
    std::optional<replica_index> prefix_home{};
    std::uint32_t home_blocks{0};
    /// Measured times of the version; nullptr: those of the settings.
    const first_token_model* timing{nullptr};
    duration first_token_target{}; ///< 0: use `remote_after` of the settings
};

struct choice {
    replica_index replica{0};
    locality distance{locality::domain};
    duration expected_first_token{};
    duration expected_wait{}; ///< the part of expected_first_token until a slot is free
    duration predicted{};     ///< first-token time without slowness; for attempt_outcome::predicted
    std::uint32_t prefix_blocks{0};
    double link_bytes{0};      ///< bytes to spend from the link budget
    double uncached_tokens{0}; ///< prompt tokens that the replica is expected to process
    double load{0};            ///< estimated requests at the replica before this one
};

/// Estimates the requests at a replica: the last load report, plus the attempts that this VM sent
/// and minus those that ended since it was measured, scaled for the other VMs that use the replica.
double estimate_load(const replica_load& load, const chooser_settings& settings);

/// Selects replicas. Its only state is the round-robin position; allocates nothing on success.
class replica_chooser {
public:
    explicit replica_chooser(chooser_settings settings);

    /// Returns the error no_upstream (step route, not_run) if no replica may be used; retry_after
    /// is set if the pool has replicas, which are then excluded only for now.
    expected<choice> choose(const replica_pool& pool, const prefix_index& prefixes,
                            const link_budget& link, const choice_request& request, time_point now,
                            std::mt19937_64& generator);

    void set_sharing_vms(std::uint32_t count) { settings_.sharing_vms = count; }
    [[nodiscard]] const chooser_settings& settings() const { return settings_; }
    /// Returns the expected time until the first token of a replica, including its slowness.
    [[nodiscard]] duration expected_first_token(const replica_pool& pool, replica_index replica,
                                                std::uint32_t uncached_tokens,
                                                const first_token_model* timing,
                                                time_point now) const;
    /// Returns the time for a message to a replica and its answer on the network.
    [[nodiscard]] duration round_trip_to(locality distance) const
    {
        return 2 * latency_to(distance);
    }

private:
    struct search_context;
    struct scored_choice {
        choice value;
        double score{0};
    };

    [[nodiscard]] scored_choice score(const search_context& context, replica_index replica) const;
    /// Returns the predicted time in seconds until a slot is free. `capacity`: fraction of the
    /// slots that may be used.
    [[nodiscard]] double predict_wait(const replica_pool& pool, replica_index replica,
                                      double capacity) const;
    /// Returns the predicted first-token time in seconds, with the wait for a slot.
    [[nodiscard]] double predict(const replica_pool& pool, replica_index replica,
                                 double uncached_tokens, double capacity,
                                 const first_token_model* timing) const;
    [[nodiscard]] duration latency_to(locality distance) const;
    [[nodiscard]] double cost_per_mb(locality distance) const;
    void search(search_context& context, locality distance, std::mt19937_64& generator,
                std::optional<scored_choice>& best);
    void search_by_time(search_context& context, std::span<const replica_index> members,
                        std::mt19937_64& generator, std::optional<scored_choice>& best) const;
    [[nodiscard]] double cached_tokens(const search_context& context, replica_index replica) const;
    void consider_prefix_holders(search_context& context, std::span<const replica_index> members,
                                 std::optional<scored_choice>& best) const;
    [[nodiscard]] double mean_load(const replica_pool& pool,
                                   std::span<const replica_index> members) const;
    void choose_first_allowed(const search_context& context, std::span<const replica_index> members,
                              std::size_t start, std::optional<scored_choice>& best) const;
    void choose_least_in_flight(const search_context& context,
                                std::span<const replica_index> members, std::mt19937_64& generator,
                                std::size_t wanted, std::optional<scored_choice>& best) const;
    [[nodiscard]] error no_upstream_error(const search_context& context) const;

    chooser_settings settings_;
    std::uint64_t round_robin_position_{0};
};

} // namespace wagtailhitch
