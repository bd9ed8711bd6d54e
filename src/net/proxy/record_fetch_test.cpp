#include "net/proxy/record_fetch.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

TEST(record_fetch_test, path_is_read_as_it_was_written)
{
    const auto query = parse_records_path(records_path("replicas", 17));
    ASSERT_TRUE(query.has_value());
    EXPECT_EQ(query->stream, "replicas");
    EXPECT_EQ(query->from, 17U);
}

TEST(record_fetch_test, other_paths_are_not_queries)
{
    for (const char* path : {"/", "/records/", "/records/x", "/records/x/", "/records/x/-1",
                             "/records/x/1y", "/metrics", "/records/x/99999999999999999999999"}) {
        EXPECT_FALSE(parse_records_path(path).has_value()) << path;
    }
}

} // namespace
} // namespace wagtailhitch
