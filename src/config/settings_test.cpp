#include "config/parse.hpp"
#include "config/settings.hpp"
#include "config/test_documents.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wagtailhitch {
namespace {

using nlohmann::json;
using testing::HasSubstr;
using testing::Not;
using testing::SizeIs;

class settings_test : public testing::Test {
protected:
    static checked<node_settings> parse(const json& settings)
    {
        return parse_settings("node.json", settings.dump());
    }
};

// Guards against a documented example that a node rejects.
TEST_F(settings_test, documented_sample_is_accepted)
{
    const auto settings = parse_settings("configuration.md", documented_sample(0));
    ASSERT_TRUE(settings) << to_string(settings.error());
    EXPECT_EQ(settings->vm, vm_id{"sierra-a-1"});
    EXPECT_THAT(settings->cluster_key, SizeIs(32));
    EXPECT_EQ(settings->log_retention, std::chrono::hours{24});
    EXPECT_EQ(settings->limits, node_limits{});
}

struct settings_case {
    std::string pointer;
    json value; ///< the key is removed when this is discarded
    std::string found;
    std::string wanted;
};

// Guards against an error that is missed or reported at the wrong path.
TEST_F(settings_test, each_mistake_is_reported_at_its_path)
{
    const json removed = json::value_t::discarded;
    const std::vector<settings_case> cases{
        {"/vm", removed, "nothing", "a name"},
        {"/vm", "a b", "\"a b\"", "a name of 1 to 64"},
        {"/region", 7, "7", "a name of 1 to 64"},
        {"/caller_listen", "localhost:80", "\"localhost:80\"", "IP:port"},
        {"/peer_listen", "127.0.0.1:70000", "\"127.0.0.1:70000\"", "IP:port"},
        {"/peer_listen", "127.0.0.1", "\"127.0.0.1\"", "IP:port"},
        {"/platform/log", "127.0.0.1:0", "\"127.0.0.1:0\"", "a port from 1"},
        {"/platform/log", removed, "nothing", "a text"},
        {"/platform/lgo", "127.0.0.1:1", "an unknown key", "one of \"log\""},
        {"/platform", json::array(), "[]", "an object"},
        {"/cluster_key", "abcd", "a text of 4 characters", "64 or more hexadecimal digits"},
        {"/session_key", std::string(64, 'x'), "a text of 64 characters", "hexadecimal digits"},
        {"/operator_keys/ines", "ab", "\"ab\"", "an Ed25519 public key"},
        {"/operator_keys", json::object(), "no key", "at least one"},
        {"/limits/ring_entries", 0, "0", "a whole number from 16"},
        {"/limits/body_bytes", 2.5, "2.5", "a whole number"},
        {"/log_retention_s", -1, "-1", "a whole number from 1"},
        {"/log_directory", "", "\"\"", "a text that is not empty"},
        {"/colour", 1, "an unknown key", "one of"},
    };
    for (const auto& c : cases) {
        const auto result = parse(with_change(sample_json(0), c.pointer, c.value));
        ASSERT_FALSE(result) << c.pointer;
        ASSERT_THAT(result.error(), SizeIs(1)) << to_string(result.error());
        EXPECT_EQ(result.error().front().file, "node.json");
        EXPECT_EQ(result.error().front().path, c.pointer);
        EXPECT_EQ(result.error().front().found, c.found);
        EXPECT_THAT(result.error().front().wanted, HasSubstr(c.wanted));
    }
}

// Guards against an operator having to fix one error per run.
TEST_F(settings_test, all_mistakes_are_reported_at_once)
{
    const auto result = parse(json::object());
    ASSERT_FALSE(result);
    EXPECT_THAT(result.error(), SizeIs(9));
}

// Guards against malformed secret keys appearing in error messages.
TEST_F(settings_test, malformed_key_is_not_shown)
{
    const auto result = parse(with_change(sample_json(0), "/cluster_key", "secret-but-no-hex"));
    ASSERT_FALSE(result);
    EXPECT_THAT(to_string(result.error()), Not(HasSubstr("secret")));
}

TEST_F(settings_test, text_that_is_not_json_is_one_error)
{
    for (const std::string text : {"", "{", "{\"vm\": 1e999}", "\xff"}) {
        const auto result = parse_settings("node.json", text);
        ASSERT_FALSE(result) << text;
        EXPECT_THAT(result.error(), SizeIs(1)) << text;
    }
}

TEST_F(settings_test, socket_address_accepts_ip_versions_4_and_6)
{
    EXPECT_EQ(parse_socket_address("127.0.0.1:80")->port, 80);
    EXPECT_EQ(parse_socket_address("[::1]:80")->ip, "::1");
    for (const std::string bad : {"::1:80", "[::1]", "1.2.3.4:", "1.2.3:80", "1.2.3.4:8x", ":80"}) {
        EXPECT_FALSE(parse_socket_address(bad)) << bad;
    }
}

} // namespace
} // namespace wagtailhitch
