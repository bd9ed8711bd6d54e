#include "proxy/event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace wagtailhitch {
namespace {

struct seen_event {
    std::string bytes;
    std::optional<std::uint64_t> id;
};

class event_splitter_test : public testing::Test {
protected:
    void feed(std::string_view bytes)
    {
        within_limit_ = splitter_.feed(bytes, [this](const stream_event& event) {
            events_.push_back({std::string{event.bytes}, event.id});
        });
    }

    event_splitter splitter_{64};
    std::vector<seen_event> events_;
    bool within_limit_{true};
};

TEST_F(event_splitter_test, whole_events_are_passed_on_unchanged_with_their_ids)
{
    feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    ASSERT_EQ(events_.size(), 2U);
    EXPECT_EQ(events_[0].bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events_[1].id, 2U);
    EXPECT_FALSE(splitter_.has_partial_event());
}

TEST_F(event_splitter_test, event_without_its_blank_line_is_held_back)
{
    feed("id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(events_.size(), 1U);
    EXPECT_TRUE(splitter_.has_partial_event());
    feed("ta: b\n\n");
    ASSERT_EQ(events_.size(), 2U);
    EXPECT_EQ(events_[1].bytes, "id: 2\ndata: b\n\n");
}

TEST_F(event_splitter_test, carriage_returns_and_fields_before_the_id_are_parsed)
{
    feed("weights: 4\r\nid:7\r\ndata: x\r\n\r\n");
    ASSERT_EQ(events_.size(), 1U);
    EXPECT_EQ(events_[0].id, 7U);
}

TEST_F(event_splitter_test, event_without_an_id_has_none)
{
    feed("data: id: 4\n\n");
    ASSERT_EQ(events_.size(), 1U);
    EXPECT_FALSE(events_[0].id.has_value());
}

TEST_F(event_splitter_test, event_above_the_limit_is_reported)
{
    feed(std::string(65, 'x'));
    EXPECT_FALSE(within_limit_);
}

RC_GTEST_PROP(event_splitter_property, any_split_yields_the_same_events, ())
{
    const auto n = *rc::gen::inRange(1, 8);
    std::string text;
    for (int i = 0; i < n; ++i) {
        text += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
    event_splitter splitter{1024};
    std::string joined;
    std::vector<std::uint64_t> ids;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
        RC_ASSERT(splitter.feed(rest.substr(0, size), [&](const stream_event& event) {
            joined += event.bytes;
            ids.push_back(event.id.value_or(99));
        }));
        rest.remove_prefix(size);
    }
    RC_ASSERT(joined == text);
    RC_ASSERT(ids.size() == static_cast<std::size_t>(n));
    RC_ASSERT(!splitter.has_partial_event());
}

} // namespace
} // namespace wagtailhitch
