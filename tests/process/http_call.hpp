#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// A blocking HTTP/1.1 client for tests.
//
//   auto reply = http_call(port, "GET", "/v1/load");
//   EXPECT_EQ(reply.status, 200);
//   reply.body["running"];
//
// Every wait ends after 20 s with an exception, so that a hanging program fails the test.

namespace wagtailhitch::testing {

using json = nlohmann::json;

struct http_reply {
    unsigned status{0};   ///< 0: the connection was closed without response headers
    bool complete{false}; ///< false: it was closed before the end of the body
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string text;

    [[nodiscard]] json body() const { return json::parse(text); }
    /// Data of the server-sent events.
    [[nodiscard]] std::vector<std::string> events() const;
    /// The `content` of all chunk events, joined.
    [[nodiscard]] std::string content() const;
};

/// One connection, kept open between calls.
class http_connection {
public:
    explicit http_connection(std::uint16_t port);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    void send(std::string_view method, std::string_view target, std::string_view body = {},
              const std::map<std::string, std::string>& headers = {});
    http_reply receive();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// One call on a connection of its own.
http_reply http_call(std::uint16_t port, std::string_view method, std::string_view target,
                     std::string_view body = {},
                     const std::map<std::string, std::string>& headers = {});

} // namespace wagtailhitch::testing
