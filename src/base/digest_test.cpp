#include "base/digest.hpp"

#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

class digest_test : public testing::Test {
protected:
    operator_key key_ = generate_operator_key();
};

// Guards against a codec that loses the last bits when the input length is not a multiple of three.
TEST_F(digest_test, base64url_of_any_length_round_trips)
{
    std::string data;
    for (int i = 0; i < 70; ++i) {
        data.push_back(static_cast<char>(i * 37));
        const auto decoded = base64url_decode(base64url_encode(data));
        ASSERT_TRUE(decoded.has_value())
            << "The encoded text of " << data.size() << " bytes was refused.";
        EXPECT_EQ(*decoded, data) << "The text of " << data.size()
                                  << " bytes changed in the round trip.";
    }
}

// Guards against accepting a change whose content was altered after signing.
TEST_F(digest_test, signature_of_altered_payload_is_refused)
{
    const auto signature = sign_ed25519(key_.private_key, "payload");
    ASSERT_TRUE(signature.has_value());
    EXPECT_TRUE(verify_ed25519(key_.public_key, "payload", *signature));
    EXPECT_FALSE(verify_ed25519(key_.public_key, "payloae", *signature));
    EXPECT_FALSE(verify_ed25519(generate_operator_key().public_key, "payload", *signature));
}

TEST_F(digest_test, sha256_of_known_text_matches_the_published_value)
{
    EXPECT_EQ(sha256_hex("abc"),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_F(digest_test, hexadecimal_text_with_other_characters_is_refused)
{
    EXPECT_FALSE(from_hex("0g").has_value());
    EXPECT_FALSE(from_hex("0").has_value());
    EXPECT_EQ(from_hex("00ff").value(), std::string("\0\xff", 2));
}

} // namespace
} // namespace wagtailhitch
