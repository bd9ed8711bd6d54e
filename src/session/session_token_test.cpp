#include "session/detail/authenticated_text.hpp"
#include "session/session_token.hpp"
#include "session/ticket.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailhitch {
namespace {

class session_token_test : public testing::Test {
protected:
    std::string key_{"0123456789abcdef0123456789abcdef"};
    session_token token_{team_id{"bulletins"},     "s-17", model_id{"narrator"},
                         version_id{"narrator-3"}, 812,    1'700'000'000'000};
};

TEST_F(session_token_test, issued_token_verifies_on_another_vm_with_the_same_key)
{
    const auto read = verify_session_token(key_, issue_session_token(key_, token_));
    ASSERT_TRUE(read.has_value()) << "The token was refused: " << read.error().detail;
    EXPECT_EQ(*read, token_);
}

// Guards against a forged token by which a caller chooses the version of a session.
TEST_F(session_token_test, token_with_any_character_changed_is_refused)
{
    const auto text = issue_session_token(key_, token_);
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        auto changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        const auto read = verify_session_token(key_, changed);
        ASSERT_FALSE(read.has_value())
            << "The token was accepted with character " << i << " changed.";
        EXPECT_EQ(read.error().code, error_code::session_token_invalid);
        EXPECT_EQ(read.error().run, run_state::not_run);
    }
}

TEST_F(session_token_test, token_of_another_key_is_refused)
{
    EXPECT_FALSE(verify_session_token("another key", issue_session_token(key_, token_)));
}

// Guards against accepting a text that was authenticated for another purpose.
TEST_F(session_token_test, ticket_presented_as_session_token_is_refused)
{
    const ticket issued{{vm_id{"a-1"}, 3}, 1, team_id{"bulletins"}, 0};
    EXPECT_FALSE(verify_session_token(key_, issue_ticket(key_, issued)));
    EXPECT_FALSE(verify_ticket(key_, issue_session_token(key_, token_)));
    const auto encoded = detail::encode_authenticated(key_, "one purpose", "payload");
    EXPECT_EQ(detail::decode_authenticated(key_, "one purpose", encoded), "payload");
    EXPECT_EQ(detail::decode_authenticated(key_, "another", encoded), std::nullopt);
}

// Guards against spending CPU time and memory on decoding texts of arbitrary length.
TEST_F(session_token_test, text_beyond_the_bound_is_refused)
{
    EXPECT_FALSE(verify_session_token(key_, std::string(session_token_max_bytes + 1, 'A')));
    EXPECT_FALSE(verify_session_token(key_, ""));
}

RC_GTEST_FIXTURE_PROP(session_token_test, arbitrary_content_round_trips,
                      (const std::string& team, const std::string& session, std::uint64_t revision))
{
    token_.team = team_id{team.substr(0, 200)};
    token_.session = session.substr(0, 200);
    token_.issued_at_revision = revision;
    const auto read = verify_session_token(key_, issue_session_token(key_, token_));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == token_);
}

RC_GTEST_FIXTURE_PROP(session_token_test, arbitrary_text_is_refused, (const std::string& text))
{
    RC_ASSERT(!verify_session_token(key_, text).has_value());
}

} // namespace
} // namespace wagtailhitch
