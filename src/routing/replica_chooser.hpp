#pragma once

#include "base/error.hpp"
#include "routing/link_budget.hpp"
#include "routing/prefix_index.hpp"
#include "routing/replica_pool.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

// Chooses the replica for one attempt (design 3.9).
//
//   auto choice = chooser.choose(pool, prefixes, link, request, now, generator);
//   if (choice) {
//       link.spend(choice->link_bytes, now);
//       auto ticket = pool.begin(choice->replica, now);
//   }

namespace wagtailhitch {

/// `expected_time` is the default; the others are baselines.
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
    double affinity_load_bound{1.25}; ///< over the mean load of the pool
    double latency_weight{1};
    double cost_weight{0};        ///< seconds of first-token time that one money unit is worth
    double link_cost_per_mb{0};   ///< money units per 10^6 bytes over the paid link
    double region_cost_per_mb{0}; ///< the same between failure domains of the region
    double doubtful_value{0.8};   ///< part of a doubtful prefix match that is believed
    std::uint32_t sharing_vms{1}; ///< VMs that send to the same replicas; see estimate_load()
    /// Part of the other VMs' work since the report that is assumed to mirror this VM's, 0 to 1.
    double mirrored_share{0.25};
    /// Other domains of the region are tried when the best expected first token is later than this.
    duration region_after{100ms};
    /// Other regions are tried when the best expected first token is later than this.
    duration remote_after{250ms};
    duration domain_latency{500us};         ///< one way within the failure domain
    duration region_latency{2ms};           ///< one way to other domains of the region
    duration remote_latency{30ms};          ///< one way to other regions
    duration base_first_token{30ms};        ///< of an idle standard replica and an empty prompt
    double prefill_tokens_per_second{8000}; ///< of a standard replica
    duration assumed_total{2s};             ///< before any attempt has been measured
    std::uint32_t block_tokens{256};        ///< prompt tokens per prefix block
    duration retry_after{1s};               ///< advised when the allowed set is empty for a while
};

/// One decision's input. Exactly one of `version` and `service` is set. The caller has checked
/// that the team may use the version and that it is in force.
struct choice_request {
    const version_id* version{nullptr};
    std::string_view service{};
    std::span<const replica_index> excluded{}; ///< tried by earlier attempts of the request
    std::span<const std::uint64_t> prefix_hashes{};
    std::uint32_t prompt_tokens{0};
    double request_bytes{0};     ///< estimate, sent over the link if the choice is remote
    double answer_bytes{0};      ///< estimate, returned over the link if the choice is remote
    double cost_per_1k_input{0}; ///< of the version; prompt tokens in a cache cost nothing
    /// Tokens of each prefix block, when they differ; empty: `block_tokens` of the settings.
    std::span<const std::uint32_t> block_sizes{};
    /// Replica that other VMs also choose for this prefix, and the blocks it is thought to hold
    /// while no VM has said otherwise.
    std::optional<replica_index> prefix_home{};
    std::uint32_t home_blocks{0};
    double prefill_pace{1};        ///< time for a prompt token relative to a standard model
    duration first_token_target{}; ///< 0: `remote_after` of the settings decides
};

struct choice {
    replica_index replica{0};
    locality distance{locality::domain};
    duration expected_first_token{};
    duration predicted{}; ///< without the replica's slowness; goes to attempt_outcome::predicted
    std::uint32_t prefix_blocks{0};
    double link_bytes{0}; ///< to be spent from the link budget
};

/// Requests thought to be at a replica: the lagged report, corrected by own attempts that ended or
/// were sent since it was measured, scaled for the other VMs that share the replica.
double estimate_load(const replica_load& load, const chooser_settings& settings);

/// Chooses replicas. Holds only the round-robin position; allocates nothing on success.
class replica_chooser {
public:
    explicit replica_chooser(chooser_settings settings);

    /// Errors: no_upstream at step route, not_run, when the allowed set is empty; retry_after is
    /// set when a member of the set is only temporarily out.
    expected<choice> choose(const replica_pool& pool, const prefix_index& prefixes,
                            const link_budget& link, const choice_request& request, time_point now,
                            std::mt19937_64& generator);

    void set_sharing_vms(std::uint32_t count) { settings_.sharing_vms = count; }
    [[nodiscard]] const chooser_settings& settings() const { return settings_; }
    /// Expected time until the first token at one replica, slowness included.
    [[nodiscard]] duration expected_first_token(const replica_pool& pool, replica_index replica,
                                                std::uint32_t uncached_tokens,
                                                time_point now) const;

private:
    struct scope;
    struct scored_choice {
        choice value;
        double score{0};
    };

    [[nodiscard]] scored_choice score(const scope& in, replica_index replica) const;
    /// Seconds; `capacity`: part of the slots that may be used.
    [[nodiscard]] double predict(const replica_pool& pool, replica_index replica,
                                 double uncached_tokens, double capacity) const;
    [[nodiscard]] duration latency_to(locality distance) const;
    [[nodiscard]] double cost_per_mb(locality distance) const;
    void search(scope& in, locality distance, std::mt19937_64& generator,
                std::optional<scored_choice>& best);
    void search_by_time(scope& in, std::span<const replica_index> members,
                        std::mt19937_64& generator, std::optional<scored_choice>& best) const;
    [[nodiscard]] double cached_tokens(const scope& in, replica_index replica) const;
    void consider_prefix_holders(scope& in, std::span<const replica_index> members,
                                 std::optional<scored_choice>& best) const;
    [[nodiscard]] double mean_load(const replica_pool& pool,
                                   std::span<const replica_index> members) const;
    void take_first(const scope& in, std::span<const replica_index> members, std::size_t start,
                    std::optional<scored_choice>& best) const;
    void take_least(const scope& in, std::span<const replica_index> members,
                    std::mt19937_64& generator, std::size_t wanted,
                    std::optional<scored_choice>& best) const;
    [[nodiscard]] error nothing_allowed(const scope& in) const;

    chooser_settings settings_;
    std::uint64_t round_{0};
};

} // namespace wagtailhitch
