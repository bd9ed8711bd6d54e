#include "net/retry_after.hpp"

#include <gtest/gtest.h>

#include <string>

namespace wagtailhitch::detail {
namespace {

TEST(retry_after_test, seconds_and_fractions_are_read)
{
    EXPECT_EQ(parse_retry_after("0", 60s), 0s);
    EXPECT_EQ(parse_retry_after("2", 60s), 2s);
    EXPECT_EQ(parse_retry_after("1.5", 60s), 1500ms);
    EXPECT_EQ(parse_retry_after("0.25", 60s), 250ms);
}

TEST(retry_after_test, large_values_are_capped)
{
    EXPECT_EQ(parse_retry_after("61", 60s), 60s);
    EXPECT_EQ(parse_retry_after("99999999999999999999", 60s), 60s);
    EXPECT_EQ(parse_retry_after(std::string(400, '9'), 60s), 60s);
}

TEST(retry_after_test, other_texts_are_ignored)
{
    for (const char* text : {"", " ", "-1", "soon", "1s", "1 2", "1.2.3", ".", "nan", "inf", "1e3",
                             "0x10", "+1", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        EXPECT_EQ(parse_retry_after(text, 60s), std::nullopt) << text;
    }
}

} // namespace
} // namespace wagtailhitch::detail
