#include "base/msgpack.hpp"
#include "claim/claim_record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

class claim_record_test : public testing::Test {
protected:
    request_id request_{vm_id{"sierra-a-1"}, 1'700'000'000'000'000, 42};
    claim_record claim_{{1, 2}, 3, request_, 1'700'000'000'000};
    outcome_record outcome_{{1, 2}, request_, run_state::ran, 200, "text/plain", "ok", true};
};

TEST_F(claim_record_test, batch_round_trips)
{
    const claim_batch batch{9, {claim_, outcome_}};
    const auto data = encode_claim_batch(batch);
    const auto read = decode_claim_batch(data);
    ASSERT_TRUE(read.has_value()) << read.error().detail;
    EXPECT_EQ(*read, batch);
    EXPECT_LE(data.size(), 16 + encoded_size_bound(claim_) + encoded_size_bound(outcome_));
}

// Guards against an older version of the program that cannot read the stream once a newer version
// writes to it.
TEST_F(claim_record_test, items_of_unknown_kind_and_added_fields_are_skipped)
{
    const auto data = encode_msgpack(nlohmann::json::array(
        {9,
         nlohmann::json::array({nlohmann::json::array({99, "later"}),
                                nlohmann::json::array({1, 1, 2, "sierra-a-1", 1'700'000'000'000'000,
                                                       42, 3, 1'700'000'000'000, "added"})})}));
    const auto read = decode_claim_batch(data);
    ASSERT_TRUE(read.has_value()) << read.error().detail;
    EXPECT_EQ(read->items, (std::vector<claim_item>{claim_}));
}

// Guards against a crash or an exception on a truncated or corrupted record.
TEST_F(claim_record_test, truncated_batch_is_an_error)
{
    const auto data = encode_claim_batch({9, {claim_, outcome_}});
    for (std::size_t n = 0; n < data.size(); ++n) {
        EXPECT_FALSE(decode_claim_batch(std::string_view{data}.substr(0, n)).has_value())
            << "The first " << n << " bytes were accepted.";
    }
}

// Guards against a stack overflow: 64 KiB of array headers nest 65,536 levels deep.
TEST_F(claim_record_test, deeply_nested_record_is_an_error)
{
    EXPECT_FALSE(decode_claim_batch(std::string(65'536, '\x91')).has_value());
}

RC_GTEST_FIXTURE_PROP(claim_record_test, arbitrary_data_does_not_crash, (const std::string& data))
{
    (void)decode_claim_batch(data);
}

// Guards against equal hashes for different teams and keys, or for different parts of a request,
// whose concatenated text is the same.
TEST_F(claim_record_test, keys_and_digests_separate_their_parts)
{
    EXPECT_NE(make_claim_key(team_id{"ab"}, "c"), make_claim_key(team_id{"a"}, "bc"));
    EXPECT_NE(make_request_digest("s", "ab", "c"), make_request_digest("s", "a", "bc"));
    EXPECT_EQ(make_claim_key(team_id{"a"}, "k"), make_claim_key(team_id{"a"}, "k"));
}

TEST_F(claim_record_test, creation_time_is_read_from_version_7_keys_only)
{
    EXPECT_EQ(embedded_key_time("018bcfe5-6800-7abc-8def-0123456789ab"), 1'700'000'000'000);
    EXPECT_EQ(embedded_key_time("018BCFE5-6800-7ABC-BDEF-0123456789AB"), 1'700'000'000'000);
    for (const auto* text :
         {"", "order-17", "018bcfe5-6800-4abc-8def-0123456789ab",
          "018bcfe5-6800-7abc-cdef-0123456789ab", "018bcfe5-6800-7abc-8def-0123456789a",
          "018bcfe5x6800-7abc-8def-0123456789ab", "018bcfe5-6g00-7abc-8def-0123456789ab"}) {
        EXPECT_EQ(embedded_key_time(text), std::nullopt) << text;
    }
}

} // namespace
} // namespace wagtailhitch
