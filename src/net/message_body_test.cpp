#include "net/message_body.hpp"

#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

#include <string_view>

namespace wagtailhitch::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t small_capacity = 4096;

class message_body_test : public testing::Test {
protected:
    void SetUp() override { parser_.body_limit(boost::none); }

    boost::system::error_code put(std::string_view bytes)
    {
        boost::system::error_code ec;
        while (!bytes.empty() && !ec) {
            bytes.remove_prefix(parser_.put(asio::buffer(bytes), ec));
        }
        return ec;
    }

    http::response_parser<message_body> parser_;
};

// Guards against an allocation of the length that a head announces, which ended the process.
TEST_F(message_body_test, announced_length_reserves_nothing)
{
    parser_.eager(true);
    EXPECT_EQ(put("HTTP/1.1 200 OK\r\nContent-Length: 90000000000000000\r\n\r\n"),
              boost::system::error_code{});
    EXPECT_TRUE(parser_.is_header_done());
    EXPECT_LT(parser_.get().body().capacity(), small_capacity);
    EXPECT_EQ(put("part"), boost::system::error_code{});
    EXPECT_EQ(parser_.get().body(), "part");
    EXPECT_FALSE(parser_.is_done());
}

TEST_F(message_body_test, body_in_chunks_is_joined)
{
    parser_.eager(true);
    EXPECT_EQ(put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
              boost::system::error_code{});
    EXPECT_TRUE(parser_.is_done());
    EXPECT_EQ(parser_.get().body(), "abcde");
}

} // namespace
} // namespace wagtailhitch::detail
