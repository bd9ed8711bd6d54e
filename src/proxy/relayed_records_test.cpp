#include "proxy/relayed_records.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

relayed_records sample()
{
    const log_epoch epoch{5};
    return {"replicas",
            {epoch, 40},
            {epoch, 44},
            true,
            {{"r-1", std::string{"\x00{\xff", 3}, {epoch, 41}}, {"r-2", "", {epoch, 43}}}};
}

TEST(relayed_records_test, records_round_trip)
{
    const auto decoded = decode_relayed_records(encode_relayed_records(sample()));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, sample());
}

TEST(relayed_records_test, other_messages_are_rejected)
{
    EXPECT_FALSE(decode_relayed_records("").has_value());
    EXPECT_FALSE(decode_relayed_records("\x91\x02").has_value());
}

RC_GTEST_PROP(relayed_records_property, corrupt_message_is_rejected_or_decoded_safely, ())
{
    std::string data = encode_relayed_records(sample());
    const auto at = *rc::gen::inRange<std::size_t>(0, data.size());
    data[at] = *rc::gen::arbitrary<char>();
    data.resize(*rc::gen::inRange<std::size_t>(0, data.size() + 1));
    const auto decoded = decode_relayed_records(data);
    RC_CLASSIFY(decoded.has_value(), "readable");
}

} // namespace
} // namespace wagtailhitch
