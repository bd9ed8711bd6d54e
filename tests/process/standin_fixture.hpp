#pragma once

#include "child_process.hpp"
#include "http_call.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>

namespace wagtailhitch::testing {

/// Runs one stand-in for each test.
class standin_test : public ::testing::Test {
protected:
    void start(std::vector<std::string> arguments)
    {
        const std::string file = files_.path("port" + std::to_string(started_++));
        arguments.insert(arguments.end(), {"--port", "0", "--port-file", file});
        standin_ = std::make_unique<child_process>(STANDIN_BINARY, arguments);
        port_ = wait_for_port(file);
    }

    [[nodiscard]] http_reply get(const std::string& target) const
    {
        return http_call(port_, "GET", target);
    }

    http_reply post(const std::string& target, const json& body,
                    const std::map<std::string, std::string>& headers = {}) const
    {
        return http_call(port_, "POST", target, body.dump(), headers);
    }

    void control(const json& change) const
    {
        const auto reply = post("/control", change);
        ASSERT_EQ(reply.status, 200U) << "The control " << change << " was refused: " << reply.text;
    }

    [[nodiscard]] json state() const { return get("/control").body(); }

    /// Polls the state until `key` has the value.
    void await_state(const std::string& key, const json& value) const
    {
        using namespace std::chrono_literals;
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (state().at(key) != value) {
            ASSERT_LT(std::chrono::steady_clock::now(), limit)
                << "The state's " << key << " never became " << value << ": " << state();
            std::this_thread::sleep_for(2ms);
        }
    }

    scratch_directory files_;
    std::unique_ptr<child_process> standin_;
    std::uint16_t port_{0};
    int started_{0};
};

} // namespace wagtailhitch::testing
