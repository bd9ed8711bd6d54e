#include "node/peer_messages.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace wagtailhitch {
namespace {

class peer_messages_test : public testing::Test {
protected:
    /// Sends the message through MessagePack, as the transport does.
    template<typename Message>
    static expected<peer_message> transfer(peer_message_kind kind, const Message& message)
    {
        const auto packed = nlohmann::json::to_msgpack(*encode_peer_message(message));
        peer_frame frame;
        frame.kind = name_of(kind);
        frame.body = std::make_shared<const nlohmann::json>(nlohmann::json::from_msgpack(packed));
        return decode_peer_message(frame);
    }
};

TEST_F(peer_messages_test, heartbeat_round_trips)
{
    heartbeat_message sent;
    sent.members.push_back(
        {{vm_id{"a2"}, 7}, "127.0.0.1:5", failure_domain_id{"sierra-a"}, 9, true});
    sent.upstreams.push_back(
        {upstream_id{"e1"}, 3, 4, upstream_state::leaving, 5, 20ms, {version_id{"n-1"}}});
    sent.shares.push_back({upstream_id{"e1"}, {4, 2}, 1.5});
    sent.in_force = 12;
    sent.confirmed_age = 30ms;
    sent.ready = true;
    const auto received = transfer(peer_message_kind::heartbeat, sent);
    ASSERT_TRUE(received.has_value()) << received.error().detail;
    const auto& got = std::get<heartbeat_message>(*received);
    ASSERT_EQ(got.members.size(), 1U);
    EXPECT_EQ(got.members[0].process, sent.members[0].process);
    EXPECT_TRUE(got.members[0].left);
    ASSERT_EQ(got.upstreams.size(), 1U);
    EXPECT_EQ(got.upstreams[0].state, upstream_state::leaving);
    EXPECT_EQ(got.upstreams[0].loaded, sent.upstreams[0].loaded);
    EXPECT_GE(*got.confirmed_age, *sent.confirmed_age) << "Encoding must never reduce an age.";
    EXPECT_EQ(kind_of(*received), peer_message_kind::heartbeat);
}

// Guards against bytes that are not UTF-8 breaking the codec.
TEST_F(peer_messages_test, binary_record_round_trips)
{
    log_records_message sent{"claims", {}};
    sent.records.records.push_back({4, std::string("\xff\x00\xfe", 3)});
    const auto received = transfer(peer_message_kind::log_records, sent);
    ASSERT_TRUE(received.has_value()) << received.error().detail;
    EXPECT_EQ(std::get<log_records_message>(*received).records.records.at(0).data,
              sent.records.records[0].data);
}

TEST_F(peer_messages_test, error_of_a_ticket_answer_keeps_step_peer_and_run_state)
{
    const error failure{error_code::upstream_timeout, step::dispatch, "e1",
                        run_state::outcome_unknown,   "late",         2s};
    const auto received =
        transfer(peer_message_kind::ticket_answer, ticket_answer_message{3, failure, {}});
    ASSERT_TRUE(received.has_value()) << received.error().detail;
    const auto& got = std::get<ticket_answer_message>(*received).failure;
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(got->code, failure.code);
    EXPECT_EQ(got->at, failure.at);
    EXPECT_EQ(got->run, failure.run);
}

// Guards against a peer of another version, or a broken one, ending the process.
TEST_F(peer_messages_test, unknown_kind_and_malformed_body_are_errors)
{
    peer_frame frame;
    frame.body = std::make_shared<const nlohmann::json>(nlohmann::json::array({1, "x"}));
    frame.kind = "later_kind";
    EXPECT_FALSE(decode_peer_message(frame).has_value());
    for (const auto& [kind, name] : enum_names<peer_message_kind>) {
        frame.kind = name;
        frame.body = std::make_shared<const nlohmann::json>(nlohmann::json::object());
        EXPECT_FALSE(decode_peer_message(frame).has_value())
            << "An empty object passed as " << name << ".";
    }
}

} // namespace
} // namespace wagtailhitch
