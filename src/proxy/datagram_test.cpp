#include "proxy/datagram.hpp"
#include "proxy/domain_bills.hpp"
#include "proxy/peer_report.hpp"
#include "proxy/relayed_records.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

TEST(datagram_test, each_kind_is_recognized_by_its_first_bytes)
{
    EXPECT_EQ(kind_of_datagram(encode_relayed_records({})), datagram_kind::records);
    EXPECT_EQ(kind_of_datagram(encode_submitted_bills({})), datagram_kind::bills);
    EXPECT_EQ(kind_of_datagram(encode_stored_bills({})), datagram_kind::stored_bills);
    EXPECT_EQ(kind_of_datagram(encode_peer_report({})), datagram_kind::report);
}

TEST(datagram_test, truncated_datagram_is_classified_as_a_report)
{
    EXPECT_EQ(kind_of_datagram(""), datagram_kind::report);
    EXPECT_EQ(kind_of_datagram("\x96"), datagram_kind::report);
    EXPECT_EQ(kind_of_datagram("\x96\xa5"
                               "bil"),
              datagram_kind::report);
    EXPECT_FALSE(decode_peer_report("\x96\xa5"
                                    "bil")
                     .has_value());
}

} // namespace
} // namespace wagtailhitch
