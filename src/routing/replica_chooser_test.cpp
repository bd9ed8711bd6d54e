#include "routing/replica_chooser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

namespace wagtailhitch {
namespace {

const std::vector<version_id> versions{version_id{"n-1"}, version_id{"n-2"}};

struct site {
    const char* domain;
    const char* region;
};
constexpr std::array sites{site{"ikeja", "ng-south"}, site{"apapa", "ng-south"},
                           site{"garki", "ng-north"}};

upstream_id name(std::size_t i)
{
    return upstream_id{"u" + std::to_string(i)};
}

class replica_chooser_test : public testing::Test {
protected:
    // Creates `count` replicas in each failure domain, each with both versions loaded.
    void build(std::size_t count)
    {
        for (std::size_t i = 0; i < count * sites.size(); ++i) {
            upstream_spec spec;
            spec.address = "127.0.0.1:" + std::to_string(i + 1);
            spec.failure_domain = failure_domain_id{sites[i / count].domain};
            spec.region = region_id{sites[i / count].region};
            spec.versions = versions;
            spec.slots = 4;
            upstreams_[name(i)] = spec;
        }
        pool_.configure(upstreams_, clock_.now());
        for (const auto& [id, spec] : upstreams_) {
            pool_.set_health(id, replica_health::usable, 1, clock_.now());
        }
    }
    expected<choice> choose(replica_chooser& chooser, const choice_request& request)
    {
        return chooser.choose(pool_, prefixes_, link_, request, clock_.now(), generator_);
    }
    std::string name_of_choice(const choice& value) const
    {
        return pool_.view(value.replica).id.value;
    }

    manual_clock clock_;
    std::mt19937_64 generator_{7};
    replica_pool pool_{
        {.failure_domain = failure_domain_id{"ikeja"}, .region = region_id{"ng-south"}}};
    prefix_index prefixes_{4096};
    link_budget link_{{.bytes_per_second = 1e5}, clock_.now()};
    std::map<upstream_id, upstream_spec> upstreams_;
};

// Guards against choosing a replica that may not be used, under random sequences of events: one
// without the version, one that is leaving, down, ejected or excluded, or one in another region
// beyond the link budget.
RC_GTEST_FIXTURE_PROP(replica_chooser_test, choice_stays_in_the_allowed_set, ())
{
    constexpr std::size_t per_domain = 4;
    build(per_domain);
    const std::size_t total = upstreams_.size();
    replica_chooser chooser{
        {.policy = *rc::gen::elementOf(std::vector<choice_policy>{
             choice_policy::expected_time, choice_policy::random, choice_policy::round_robin,
             choice_policy::least_in_flight, choice_policy::two_choices})}};
    std::set<upstream_id> leaving;
    std::map<upstream_id, std::vector<version_id>> loaded;
    std::vector<dispatch_ticket> open;
    const auto steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
        const upstream_id id = name(*rc::gen::inRange<std::size_t>(0, total));
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            leaving.insert(id);
            pool_.set_health(id, replica_health::leaving, *rc::gen::inRange(0, 2), clock_.now());
            break;
        case 1:
            pool_.set_health(id, replica_health::usable, 1, clock_.now());
            break;
        case 2:
            pool_.set_health(id, replica_health::down, 1, clock_.now());
            break;
        case 3:
            loaded[id] = {versions[*rc::gen::inRange<std::size_t>(0, 2)]};
            pool_.set_loaded(id, loaded[id]);
            break;
        case 4:
            pool_.report_load(id, {.running = *rc::gen::inRange(0U, 9U), .age = 300ms},
                              clock_.now());
            break;
        case 5:
            clock_.advance(std::chrono::milliseconds{*rc::gen::inRange(1, 3000)});
            break;
        default:
            for (const dispatch_ticket& ticket : open) {
                const bool failed = *rc::gen::inRange(0, 2) == 0;
                (void)pool_.finish(
                    ticket,
                    {failed ? attempt_result::failed : attempt_result::succeeded, 50ms, 1s, 50ms},
                    clock_.now());
            }
            open.clear();
        }
        const version_id& wanted = versions[*rc::gen::inRange<std::size_t>(0, 2)];
        const std::vector<replica_index> excluded{
            *rc::gen::inRange<replica_index>(0, static_cast<replica_index>(total))};
        const choice_request request{
            .version = &wanted, .excluded = excluded, .prompt_tokens = 500, .request_bytes = 40000};
        const auto made = choose(chooser, request);
        if (!made) {
            RC_ASSERT(made.error().run == run_state::not_run);
            for (const auto& [other, spec] : upstreams_) {
                const replica_index index = *pool_.find(other);
                const bool usable = spec.region.value == "ng-south" && index != excluded[0] &&
                                    pool_.holds(index, wanted) && pool_.admits(index, clock_.now());
                RC_ASSERT_FALSE(usable);
            }
            continue;
        }
        const replica_view& chosen = pool_.view(made->replica);
        RC_ASSERT_FALSE(leaving.contains(chosen.id));
        RC_ASSERT(made->replica != excluded[0]);
        const bool holds = !loaded.contains(chosen.id) || loaded.at(chosen.id).front() == wanted;
        RC_ASSERT(holds);
        RC_ASSERT(chosen.health == replica_health::usable);
        RC_ASSERT(pool_.outlier(made->replica, clock_.now()) != outlier_state::ejected);
        const bool remote = chosen.spec.region.value != "ng-south";
        const bool paid = made->link_bytes > 0 && link_.fits(made->link_bytes, clock_.now());
        RC_ASSERT(paid == remote);
        link_.spend(made->link_bytes, clock_.now());
        open.push_back(pool_.begin(made->replica, clock_.now()));
    }
}

// Differential test: in small pools, the choice must equal that of a full scan by expected time.
RC_GTEST_FIXTURE_PROP(replica_chooser_test, choice_in_a_small_pool_equals_a_full_scan, ())
{
    build(*rc::gen::inRange<std::size_t>(1, 8));
    replica_chooser chooser{{}};
    for (const auto& [id, spec] : upstreams_) {
        pool_.report_load(id, {.running = *rc::gen::inRange(0U, 12U)}, clock_.now());
    }
    const choice_request request{.version = &versions[0], .prompt_tokens = 800};
    for (int i = 0; i < 20; ++i) {
        const auto made = choose(chooser, request);
        RC_ASSERT(made.has_value());
        duration least = duration::max();
        for (const replica_index replica : pool_.members(versions[0], made->distance)) {
            least = std::min(
                least, chooser.expected_first_token(pool_, replica, 800, nullptr, clock_.now()));
        }
        RC_ASSERT(made->expected_first_token == least);
        (void)pool_.begin(made->replica, clock_.now());
    }
}

// Guards against using the paid link while the local region has a usable replica, and against
// rejecting requests forever when only another region has one.
TEST_F(replica_chooser_test, other_regions_are_used_last_and_within_the_budget)
{
    build(1);
    replica_chooser chooser{{}};
    const choice_request request{.version = &versions[0], .request_bytes = 150e3};
    EXPECT_EQ(choose(chooser, request)->distance, locality::domain);
    pool_.set_health(name(0), replica_health::down, 1, clock_.now());
    EXPECT_EQ(choose(chooser, request)->distance, locality::region);
    pool_.set_health(name(1), replica_health::down, 1, clock_.now());
    const auto remote = choose(chooser, request);
    ASSERT_TRUE(remote.has_value());
    EXPECT_EQ(remote->distance, locality::remote);
    link_.spend(remote->link_bytes, clock_.now());
    const auto refused = choose(chooser, request);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, error_code::no_upstream);
    EXPECT_TRUE(refused.error().retry_after.has_value());
    clock_.advance(2s);
    EXPECT_TRUE(choose(chooser, request).has_value());
}

// Guards against routing a prompt away from the replica with its cached prefix, and against a
// popular prefix sending all requests to one replica.
TEST_F(replica_chooser_test, prefix_holder_is_chosen_until_its_load_passes_the_bound)
{
    build(20);
    replica_chooser chooser{{}};
    const std::vector<std::uint64_t> hashes{1, 2, 3, 4, 5, 6, 7, 8};
    const replica_index holder = *pool_.find(name(13));
    prefixes_.stored(holder, hashes);
    const choice_request request{
        .version = &versions[0], .prefix_hashes = hashes, .prompt_tokens = 2048};
    std::uint32_t on_holder = 0;
    for (int i = 0; i < 10; ++i) {
        const auto made = choose(chooser, request);
        on_holder += made->replica == holder ? 1 : 0;
        (void)pool_.begin(made->replica, clock_.now());
    }
    EXPECT_EQ(on_holder, 2U) << "the bound for a mean load below 1 is 2 requests";
}

// Guards against overloading a replica that has just returned and looks idle.
TEST_F(replica_chooser_test, returned_replica_receives_less_during_slow_start)
{
    build(2);
    replica_chooser chooser{{}};
    pool_.set_health(name(0), replica_health::down, 1, clock_.now());
    pool_.set_health(name(0), replica_health::usable, 1, clock_.now());
    clock_.advance(1s);
    std::array<int, 6> sent{};
    for (int i = 0; i < 4; ++i) {
        const auto made = choose(chooser, {.version = &versions[0]});
        ++sent[made->replica];
        (void)pool_.begin(made->replica, clock_.now());
    }
    EXPECT_EQ(sent[0], 1) << "a tenth of 4 slots is rounded up to one request";
    EXPECT_EQ(sent[1], 3);
}

// Guards against selecting plain services by version, or mixing them with engines.
TEST_F(replica_chooser_test, service_call_goes_to_a_replica_of_the_service)
{
    build(2);
    upstream_spec spec = upstreams_[name(0)];
    spec.kind = upstream_kind::service;
    spec.versions.clear();
    spec.service = "ledger";
    spec.address = "127.0.0.1:99";
    upstreams_[upstream_id{"app"}] = spec;
    pool_.configure(upstreams_, clock_.now());
    pool_.set_health(upstream_id{"app"}, replica_health::usable, 1, clock_.now());
    replica_chooser chooser{{}};
    const auto made = choose(chooser, {.service = "ledger"});
    ASSERT_TRUE(made.has_value());
    EXPECT_EQ(name_of_choice(*made), "app");
    EXPECT_FALSE(choose(chooser, {.service = "n-1"}).has_value());
}

} // namespace
} // namespace wagtailhitch
