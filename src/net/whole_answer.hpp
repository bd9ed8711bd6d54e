#pragma once

#include "net/http_client.hpp"

#include <functional>
#include <optional>
#include <string>

// Performs a call and buffers its whole answer; meant for short answers.
//
//   fetch_whole(client, {.address = peer, .target = "/v1/load"},
//               [](const whole_answer& answer) { if (answer.ok()) { ... } });

namespace wagtailhitch::detail {

/// A complete answer, or the reason why there is none.
struct whole_answer {
    unsigned status{0};
    header_list headers;
    std::string body;
    std::optional<call_failure> failure;

    [[nodiscard]] bool ok() const { return !failure && status == 200; }
};

using whole_answer_hook = std::function<void(const whole_answer&)>;

/// `done` runs exactly once unless the returned call is cancelled.
http_call_ptr fetch_whole(http_client& client, http_call call, whole_answer_hook done);

} // namespace wagtailhitch::detail
