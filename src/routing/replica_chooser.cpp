#include "routing/replica_chooser.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace wagtailhitch {

namespace {

// Maximum number of prefix matches read from the index.
constexpr std::size_t max_matches = 8;

// Random draws per wanted sample before falling back to a sequential search of the members.
constexpr std::uint32_t draws_per_sample = 3;

constexpr double bytes_per_mb = 1e6;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    constexpr double longest = 1e6;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(value, longest)));
}

// Returns a random index below n. Scales by multiplication instead of a modulus; the bias is below
// n / 2^32.
std::size_t random_index(std::mt19937_64& generator, std::size_t n)
{
    return static_cast<std::size_t>(((generator() >> 32U) * n) >> 32U);
}

} // namespace

struct replica_chooser::search_context {
    const replica_pool& pool;
    const link_budget& link;
    const choice_request& request;
    time_point now;
    std::array<prefix_match, max_matches> matches{};
    std::size_t match_count{0};

    [[nodiscard]] std::span<const replica_index> members(locality distance) const
    {
        return request.version ? pool.members(*request.version, distance)
                               : pool.service_members(request.service, distance);
    }
    [[nodiscard]] bool allowed(replica_index replica) const
    {
        return std::ranges::find(request.excluded, replica) == request.excluded.end() &&
               pool.admits(replica, now) &&
               (request.permitted == nullptr || (*request.permitted)(replica));
    }
    [[nodiscard]] prefix_match match(replica_index replica) const
    {
        for (std::size_t i = 0; i < match_count; ++i) {
            if (matches[i].replica == replica) {
                return matches[i];
            }
        }
        const bool home = request.prefix_home == replica;
        return {.replica = replica, .blocks = home ? request.home_blocks : 0, .doubtful = home};
    }
};

double estimate_load(const replica_load& load, const chooser_settings& settings)
{
    const double load_multiplier = 1 + (settings.sharing_vms - 1) * settings.mirrored_share;
    const double change =
        static_cast<double>(load.sent_since) - static_cast<double>(load.finished_since);
    return std::max<double>(load.reported + change * load_multiplier, load.in_flight);
}

replica_chooser::replica_chooser(chooser_settings settings) : settings_{settings} {}

expected<choice> replica_chooser::choose(const replica_pool& pool, const prefix_index& prefixes,
                                         const link_budget& link, const choice_request& request,
                                         time_point now, std::mt19937_64& generator)
{
    search_context context{pool, link, request, now};
    const bool by_expected_time = settings_.policy == choice_policy::expected_time;
    if (by_expected_time && !request.prefix_hashes.empty()) {
        context.match_count = prefixes.find(request.prefix_hashes, context.matches);
    }
    const double bytes = request.request_bytes + request.answer_bytes;
    const duration target = request.first_token_target > duration{0} ? request.first_token_target
                                                                     : settings_.remote_after;
    std::optional<scored_choice> best;
    for (const locality distance : {locality::domain, locality::region, locality::remote}) {
        const bool remote = distance == locality::remote;
        const duration latency_threshold =
            remote ? target : std::min(target, settings_.region_after);
        if (best && (!by_expected_time || best->value.expected_first_token <= latency_threshold)) {
            continue;
        }
        if (remote && !request.remote_only && !link.fits(bytes, now)) {
            break;
        }
        search(context, distance, generator, best);
    }
    if (!best) {
        return tl::unexpected(no_upstream_error(context));
    }
    best->value.link_bytes = best->value.distance == locality::remote ? bytes : 0;
    return best->value;
}

duration replica_chooser::expected_first_token(const replica_pool& pool, replica_index replica,
                                               std::uint32_t uncached_tokens,
                                               const first_token_model* timing,
                                               time_point now) const
{
    const double capacity = pool.capacity_share(replica, now);
    return from_seconds(predict(pool, replica, uncached_tokens, capacity, timing) *
                        pool.slowness(replica, now));
}

double replica_chooser::predict_wait(const replica_pool& pool, replica_index replica,
                                     double capacity) const
{
    const replica_load& counts = pool.load(replica);
    const double slots = std::max(1.0, counts.slots * capacity);
    const duration measured = pool.mean_total(replica);
    const double total = seconds(measured > duration{0} ? measured : settings_.assumed_total);
    return std::max(0.0, estimate_load(counts, settings_) + 1 - slots) * total / slots;
}

double replica_chooser::predict(const replica_pool& pool, replica_index replica,
                                double uncached_tokens, double capacity,
                                const first_token_model* timing) const
{
    const replica_view& it = pool.view(replica);
    const replica_load& counts = pool.load(replica);
    const double load = estimate_load(counts, settings_);
    const double slots = std::max(1.0, counts.slots * capacity);
    const double speed = std::max(it.spec.speed, 1e-3);
    const first_token_model configured{seconds(settings_.base_first_token),
                                       1 / settings_.prefill_tokens_per_second, 1};
    const first_token_model& model = timing != nullptr ? *timing : configured;
    const double first = model.seconds({uncached_tokens, std::min(load / slots, 1.0)});
    return predict_wait(pool, replica, capacity) + first / speed +
           seconds(round_trip_to(it.distance));
}

double replica_chooser::cost_per_mb(locality distance) const
{
    switch (distance) {
    case locality::domain:
        return 0;
    case locality::region:
        return settings_.region_cost_per_mb;
    case locality::remote:
        return settings_.link_cost_per_mb;
    }
    return settings_.link_cost_per_mb;
}

duration replica_chooser::latency_to(locality distance) const
{
    switch (distance) {
    case locality::domain:
        return settings_.domain_latency;
    case locality::region:
        return settings_.region_latency;
    case locality::remote:
        return settings_.remote_latency;
    }
    return settings_.remote_latency;
}

double replica_chooser::cached_tokens(const search_context& context, replica_index replica) const
{
    const prefix_match match = context.match(replica);
    const double match_weight = match.doubtful ? settings_.doubtful_match_weight : 1;
    if (context.request.block_sizes.empty()) {
        return match_weight * match.blocks * settings_.block_tokens;
    }
    double tokens = 0;
    for (std::size_t i = 0; i < match.blocks && i < context.request.block_sizes.size(); ++i) {
        tokens += context.request.block_sizes[i];
    }
    return match_weight * tokens;
}

replica_chooser::scored_choice replica_chooser::score(const search_context& context,
                                                      replica_index replica) const
{
    const prefix_match match = context.match(replica);
    const first_token_model* timing = context.request.timing;
    const double uncached =
        std::max(0.0, context.request.prompt_tokens - cached_tokens(context, replica));
    const double at_full_capacity = predict(context.pool, replica, uncached, 1, timing);
    const double capacity_share = context.pool.capacity_share(replica, context.now);
    const double with_slow_start =
        capacity_share < 1 ? predict(context.pool, replica, uncached, capacity_share, timing)
                           : at_full_capacity;
    const double slowness = context.pool.slowness(replica, context.now);
    const double time = with_slow_start * slowness;
    const locality distance = context.pool.view(replica).distance;
    const double bytes = context.request.request_bytes + context.request.answer_bytes;
    const double link_cost = bytes / bytes_per_mb * cost_per_mb(distance);
    const double cost = link_cost + uncached / 1000 * context.request.cost_per_1k_input;
    scored_choice result;
    result.value.replica = replica;
    result.value.distance = distance;
    result.value.expected_first_token = from_seconds(time);
    result.value.expected_wait =
        from_seconds(predict_wait(context.pool, replica, capacity_share) * slowness);
    result.value.predicted = from_seconds(at_full_capacity);
    result.value.prefix_blocks = match.blocks;
    result.value.uncached_tokens = uncached;
    result.value.load = estimate_load(context.pool.load(replica), settings_);
    result.score = settings_.latency_weight * time + settings_.cost_weight * cost;
    return result;
}

void replica_chooser::search(search_context& context, locality distance, std::mt19937_64& generator,
                             std::optional<scored_choice>& best)
{
    const auto members = context.members(distance);
    if (members.empty()) {
        return;
    }
    switch (settings_.policy) {
    case choice_policy::expected_time:
        search_by_time(context, members, generator, best);
        break;
    case choice_policy::random:
        choose_first_allowed(context, members, random_index(generator, members.size()), best);
        break;
    case choice_policy::round_robin:
        choose_first_allowed(context, members,
                             static_cast<std::size_t>(round_robin_position_++ % members.size()),
                             best);
        break;
    case choice_policy::least_in_flight:
        choose_least_in_flight(context, members, generator, members.size(), best);
        break;
    case choice_policy::two_choices:
        choose_least_in_flight(context, members, generator, 2, best);
        break;
    }
}

void replica_chooser::search_by_time(search_context& context,
                                     std::span<const replica_index> members,
                                     std::mt19937_64& generator,
                                     std::optional<scored_choice>& best) const
{
    const auto consider = [&](replica_index replica) {
        const scored_choice candidate = score(context, replica);
        if (!best || candidate.score < best->score) {
            best = candidate;
        }
    };
    consider_prefix_holders(context, members, best);
    std::uint32_t considered = 0;
    const bool all = members.size() <= 2 * static_cast<std::size_t>(settings_.samples);
    for (std::uint32_t i = 0; !all && i < settings_.samples * draws_per_sample; ++i) {
        const replica_index replica = members[random_index(generator, members.size())];
        if (considered < settings_.samples && context.allowed(replica)) {
            consider(replica);
            ++considered;
        }
    }
    const std::size_t start = random_index(generator, members.size());
    for (std::size_t i = 0; i < members.size() && (all || considered == 0); ++i) {
        const replica_index replica = members[(start + i) % members.size()];
        if (context.allowed(replica)) {
            consider(replica);
            ++considered;
        }
    }
}

// Ignores the prefix match of a replica whose load exceeds affinity_load_bound times the mean, so
// that a popular prefix does not send all requests to one replica.
void replica_chooser::consider_prefix_holders(search_context& context,
                                              std::span<const replica_index> members,
                                              std::optional<scored_choice>& best) const
{
    double mean = -1;
    for (std::size_t i = 0; i < context.match_count; ++i) {
        const replica_index replica = context.matches[i].replica;
        const bool member = std::ranges::find(members, replica) != members.end();
        if (!member || !context.allowed(replica)) {
            continue;
        }
        mean = mean < 0 ? mean_load(context.pool, members) : mean;
        const double load = estimate_load(context.pool.load(replica), settings_);
        if (load + 1 > std::ceil(settings_.affinity_load_bound * (mean + 1))) {
            context.matches[i].blocks = 0;
            continue;
        }
        const scored_choice candidate = score(context, replica);
        if (!best || candidate.score < best->score) {
            best = candidate;
        }
    }
}

double replica_chooser::mean_load(const replica_pool& pool,
                                  std::span<const replica_index> members) const
{
    double sum = 0;
    for (const replica_index replica : members) {
        sum += estimate_load(pool.load(replica), settings_);
    }
    return sum / static_cast<double>(members.size());
}

void replica_chooser::choose_first_allowed(const search_context& context,
                                           std::span<const replica_index> members,
                                           std::size_t start,
                                           std::optional<scored_choice>& best) const
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        const replica_index replica = members[(start + i) % members.size()];
        if (context.allowed(replica)) {
            best = score(context, replica);
            return;
        }
    }
}

void replica_chooser::choose_least_in_flight(const search_context& context,
                                             std::span<const replica_index> members,
                                             std::mt19937_64& generator, std::size_t wanted,
                                             std::optional<scored_choice>& best) const
{
    const bool all = wanted >= members.size();
    const std::size_t start = random_index(generator, members.size());
    const std::size_t draws = all ? 0 : wanted * draws_per_sample;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    std::size_t seen = 0;
    const auto consider = [&](replica_index replica) {
        if (!context.allowed(replica)) {
            return;
        }
        ++seen;
        if (context.pool.load(replica).in_flight < least) {
            least = context.pool.load(replica).in_flight;
            best = score(context, replica);
        }
    };
    for (std::size_t i = 0; i < draws && seen < wanted; ++i) {
        consider(members[random_index(generator, members.size())]);
    }
    for (std::size_t i = 0; i < members.size() && (all || seen == 0); ++i) {
        consider(members[(start + i) % members.size()]);
    }
}

error replica_chooser::no_upstream_error(const search_context& context) const
{
    bool known = false;
    for (const locality distance : {locality::domain, locality::region, locality::remote}) {
        known = known || !context.members(distance).empty();
    }
    const std::string name = context.request.version ? context.request.version->value
                                                     : std::string{context.request.service};
    error reason{error_code::no_upstream, step::route, name, run_state::not_run, {}, {}};
    reason.detail = known ? "Every upstream of this pool is ejected, was already tried, or is "
                            "in another region while the link budget is exhausted."
                          : "No upstream of this pool is usable.";
    if (known) {
        reason.retry_after = settings_.retry_after;
    }
    return reason;
}

} // namespace wagtailhitch
