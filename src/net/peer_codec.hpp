#pragma once

#include "node/messages.hpp"

#include <functional>
#include <string>
#include <string_view>

// Encoding of frames between VMs: a big-endian length of 4 bytes, then one MessagePack array
// [vm, incarnation, sequence, kind, body].
//
//   std::string bytes = encode_frame(self, 7, "heartbeat", *body);
//   frame_splitter splitter{limit};
//   bool ok = splitter.feed(bytes, [](std::string_view content) { decode_frame(content); });

namespace wagtailhitch::detail {

/// Prefixes `content` with its length.
std::string with_length(std::string_view content);

std::string encode_frame(const process_id& from, std::uint64_t sequence, const std::string& kind,
                         const nlohmann::json& body);

/// Errors: malformed_request. The failure domain is left empty.
expected<peer_frame> decode_frame(std::string_view content);

/// Splits a byte stream into the contents of frames.
class frame_splitter {
public:
    explicit frame_splitter(std::size_t limit) : limit_{limit} {}

    void set_limit(std::size_t limit) { limit_ = limit; }
    /// Returns false when a frame exceeds the limit or `on_frame` returns false.
    [[nodiscard]] bool feed(std::string_view bytes,
                            const std::function<bool(std::string_view)>& on_frame);

private:
    std::size_t limit_;
    std::string buffer_;
};

} // namespace wagtailhitch::detail
