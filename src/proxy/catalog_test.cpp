#include "proxy/catalog.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

proxy_route route(std::string name, std::string host, std::string prefix)
{
    proxy_route out;
    out.name = std::move(name);
    out.host = std::move(host);
    out.path_prefix = std::move(prefix);
    out.services = {{"engine", 1}};
    return out;
}

class proxy_catalog_test : public testing::Test {
protected:
    static catalog_contents contents()
    {
        catalog_contents out;
        out.version = 3;
        out.routes = {route("all", "api.example", "/"), route("reports", "api.example", "/r/"),
                      route("drafts", "api.example", "/r/drafts/"),
                      route("other", "other.example", "/r/")};
        out.teams = std::vector<proxy_team>{{team_id{"bulletins"}, {"k1", "k2"}, 0, false}};
        return out;
    }
    std::string name_of_route(std::string_view host, std::string_view path) const
    {
        const auto* found = catalog_.find_route(host, path);
        return found == nullptr ? "none" : found->name;
    }

    proxy_catalog catalog_{contents()};
};

TEST_F(proxy_catalog_test, longest_prefix_of_the_host_selects_the_route)
{
    EXPECT_EQ(name_of_route("api.example", "/r/drafts/7"), "drafts");
    EXPECT_EQ(name_of_route("api.example", "/r/7"), "reports");
    EXPECT_EQ(name_of_route("api.example", "/x"), "all");
    EXPECT_EQ(name_of_route("other.example", "/x"), "none");
}

TEST_F(proxy_catalog_test, host_is_compared_without_case_and_port)
{
    EXPECT_EQ(name_of_route("API.example:8080", "/r/7"), "reports");
}

TEST_F(proxy_catalog_test, query_is_ignored_in_route_selection)
{
    EXPECT_EQ(name_of_route("api.example", "/r?x=/drafts/"), "all");
}

TEST_F(proxy_catalog_test, prefix_without_its_slash_does_not_match)
{
    EXPECT_EQ(name_of_route("api.example", "/reports"), "all");
}

TEST_F(proxy_catalog_test, key_identifies_its_team)
{
    ASSERT_NE(catalog_.find_team("k2"), nullptr);
    EXPECT_EQ(catalog_.find_team("k2")->name.value, "bulletins");
    EXPECT_EQ(catalog_.find_team("k3"), nullptr);
    EXPECT_EQ(catalog_.find_team(""), nullptr);
}

TEST_F(proxy_catalog_test, shares_split_hashes_in_proportion)
{
    proxy_route split = route("split", "h", "/");
    split.services = {{"a", 90}, {"b", 10}};
    int first = 0;
    constexpr int n = 1000;
    for (int i = 0; i < n; ++i) {
        first += pick_service(split, static_cast<std::uint64_t>(i) * (~0ULL / n)) == "a" ? 1 : 0;
    }
    EXPECT_NEAR(first, 900, 2);
    EXPECT_EQ(pick_service(split, ~0ULL), "b") << "The largest hash belongs to the last share.";
}

} // namespace
} // namespace wagtailhitch
