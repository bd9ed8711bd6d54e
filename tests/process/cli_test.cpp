#include "child_process.hpp"
#include "http_call.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace wagtailhitch::testing {
namespace {

/// Operators' commands against the log stand-in.
class cli_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        port_ = wait_for_port(files_.path("log.port"));
        ASSERT_EQ(run({"keygen", files_.path("ines.key")}), 0);
        ASSERT_EQ(run({"keygen", files_.path("stranger.key")}), 0);
        const auto key = json::parse(read("ines.key"));
        write("node.json", json{{"vm", "a-1"},
                                {"failure_domain", "a"},
                                {"region", "r"},
                                {"caller_listen", "127.0.0.1:0"},
                                {"peer_listen", "127.0.0.1:0"},
                                {"platform", {{"log", "127.0.0.1:" + std::to_string(port_)}}},
                                {"cluster_key", std::string(64, 'a')},
                                {"session_key", std::string(64, 'b')},
                                {"operator_keys", {{"ines", key.at("public_key")}}}}
                               .dump());
        write_document("/v1/series");
    }

    void write(const std::string& name, const std::string& text) const
    {
        std::ofstream{files_.path(name)} << text;
    }

    [[nodiscard]] std::string read(const std::string& name) const
    {
        std::ifstream in{files_.path(name)};
        return {std::istreambuf_iterator<char>{in}, {}};
    }

    void write_document(const std::string& path) const
    {
        const json call{{"method", "GET"}, {"path", path}, {"idempotent", true}};
        write("ops.json", json{{"services", {{"indices", {{"calls", {{"read", call}}}}}}}}.dump());
    }

    static int run(const std::vector<std::string>& arguments)
    {
        return child_process{WAGTAILHITCH_BINARY, arguments}.wait();
    }

    int submit(const std::string& key, const std::vector<std::string>& extra_arguments = {},
               const std::string& wait_s = "3") const
    {
        std::vector<std::string> arguments{
            "submit", files_.path("ops.json"), "--settings", files_.path("node.json"),
            "--key",  files_.path(key),        "--wait",     wait_s};
        arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
        return run(arguments);
    }

    void control(const json& change) const { http_call(port_, "POST", "/control", change.dump()); }

    [[nodiscard]] std::size_t records() const
    {
        return http_call(port_, "GET", "/v1/streams/config/records?from=0&limit=100&wait_ms=0")
            .body()
            .at("head");
    }

    scratch_directory files_;
    child_process log_{STANDIN_BINARY,
                       {"log", "--port", "0", "--port-file", files_.path("log.port")}};
    std::uint16_t port_{0};
};

// Guards against exit statuses that a script could not tell apart.
TEST_F(cli_test, each_outcome_of_a_submission_has_its_exit_status)
{
    EXPECT_EQ(run({"check", files_.path("ops.json")}), 0);
    EXPECT_EQ(submit("ines.key", {"--submission-id", "s-1"}), 0);
    EXPECT_EQ(submit("ines.key", {"--submission-id", "s-1"}), 0);
    EXPECT_EQ(records(), 1U);
    EXPECT_EQ(submit("ines.key", {"--base", "0"}), 3);
    EXPECT_EQ(submit("stranger.key"), 3);
    EXPECT_EQ(submit("missing.key"), 1);
    write_document("no-slash");
    EXPECT_EQ(run({"check", files_.path("ops.json")}), 2);
    EXPECT_EQ(submit("ines.key"), 2);
}

// Guards against a lost reply being reported as a failure although the change is in force.
TEST_F(cli_test, lost_append_reply_still_yields_the_result)
{
    control({{"lose_append_replies", 1}});
    EXPECT_EQ(submit("ines.key"), 0);
    EXPECT_EQ(records(), 1U);
}

// Guards against a retry with the same id counting as a second submission.
TEST_F(cli_test, unknown_outcome_is_resolved_by_resubmitting_the_same_id)
{
    control({{"lose_append_replies", 1}});
    EXPECT_EQ(submit("ines.key", {"--submission-id", "s-1"}, "0"), 4);
    EXPECT_EQ(submit("ines.key", {"--submission-id", "s-1"}), 0);
    EXPECT_EQ(records(), 1U);
}

// Guards against "not submitted" being reported after something may have been appended.
TEST_F(cli_test, unreachable_log_is_reported_as_not_submitted)
{
    control({{"outage", true}});
    EXPECT_EQ(submit("ines.key"), 5);
    control({{"outage", false}});
    EXPECT_EQ(records(), 0U);
    log_.send_signal(SIGTERM);
    log_.wait();
    EXPECT_EQ(submit("ines.key"), 5);
}

// Guards against a key being replaced by a second keygen.
TEST_F(cli_test, keygen_keeps_an_existing_key)
{
    const auto before = read("ines.key");
    EXPECT_EQ(run({"keygen", files_.path("ines.key")}), 1);
    EXPECT_EQ(read("ines.key"), before);
}

} // namespace
} // namespace wagtailhitch::testing
