#include "standin_fixture.hpp"

namespace wagtailhitch::testing {

namespace {

class vm_list_standin_test : public standin_test {
protected:
    [[nodiscard]] json vms() const { return get("/v1/vms").body().at("vms"); }
};

json entry(const std::string& id, const std::string& state)
{
    return {{"id", id},
            {"address", "127.0.0.1:9080"},
            {"failure_domain", "sierra-a"},
            {"state", state}};
}

// Guards against a list without lag, which would hide that the VMs rely on it.
TEST_F(vm_list_standin_test, change_is_published_only_after_the_lag)
{
    start({"vm-list", "--lag-ms", "0"});
    control({{"vms", {entry("a", "live")}}});
    EXPECT_EQ(vms(), json::array({entry("a", "live")}));
    control({{"lag_ms", 3'600'000}});
    control({{"states", {{"a", "leaving"}}}});
    EXPECT_EQ(vms(), json::array({entry("a", "live")}));
    EXPECT_EQ(state().at("actual"), json::array({entry("a", "leaving")}));
}

// Guards against test setups whose misspelled controls change nothing.
TEST_F(vm_list_standin_test, malformed_control_is_refused_and_changes_nothing)
{
    start({"vm-list", "--lag-ms", "0"});
    const std::vector<json> refused{
        {{"vms", {entry("a", "gone")}}},
        {{"vms", {{{"id", "a"}, {"state", "live"}}}}},
        {{"states", {{"unknown", "leaving"}}}},
        {{"no_such_control", 1}},
    };
    for (const auto& it : refused) {
        EXPECT_EQ(post("/control", it).status, 400U) << it;
    }
    EXPECT_EQ(vms(), json::array());
}

class ratings_standin_test : public standin_test {};

// Guards against ratings that a reader sees twice or that do not depend on the version.
TEST_F(ratings_standin_test, ratings_follow_the_versions_scores_and_are_paged)
{
    start({"ratings", "--lag-ms", "0", "--score", "good=0.9", "--score", "bad=0.2"});
    for (const std::string version : {"good", "bad"}) {
        post("/v1/answers", {{"request", "vm/1/1"}, {"version", version}, {"route", "report"}});
    }
    await_state("published", 2);
    const json first = get("/v1/ratings?from=0&limit=1").body();
    const json second =
        get("/v1/ratings?from=" + std::to_string(first.at("next").get<int>())).body();
    ASSERT_EQ(first.at("items").size(), 1U);
    ASSERT_EQ(second.at("items").size(), 1U);
    EXPECT_GE(first.at("items").front().at("score").get<double>(), 0.8);
    EXPECT_LE(second.at("items").front().at("score").get<double>(), 0.3);
    const json none = get("/v1/ratings?from=2").body();
    EXPECT_EQ(none, json({{"next", 2}, {"items", json::array()}}));
}

class weights_standin_test : public standin_test {};

// Guards against a weight store that every VM could fetch from at once.
TEST_F(weights_standin_test, fetch_above_the_waiting_bound_is_refused)
{
    start({"weights", "--fetch-ms", "3600000", "--max-waiting", "1"});
    http_connection served{port_};
    http_connection waiting{port_};
    served.send("GET", "/v1/weights/n-3");
    // The first fetch is served and the second one waits; one more is too many.
    waiting.send("GET", "/v1/weights/n-4");
    await_state("waiting", 1);
    EXPECT_EQ(get("/v1/weights/n-5").status, 429U);
}

// Guards against weights of another version than the one that was asked for.
TEST_F(weights_standin_test, fetch_answers_with_the_version)
{
    start({"weights", "--fetch-ms", "0"});
    EXPECT_EQ(get("/v1/weights/n-3").body().at("version"), "n-3");
}

} // namespace

} // namespace wagtailhitch::testing
