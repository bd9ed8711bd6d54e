#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

// Splits the bytes of an event stream into whole events, unchanged.
//
//   event_splitter events{64 * 1024};
//   bool ok = events.feed(bytes, [](const stream_event& event) { forward(event.bytes); });
//   if (events.torn()) { the stream ended within an event }

namespace wagtailhitch {

struct stream_event {
    std::string_view bytes; ///< with the blank line that ends it
    std::optional<std::uint64_t> id;
};

class event_splitter {
public:
    explicit event_splitter(std::size_t event_limit) : event_limit_{event_limit} {}

    /// Returns false when an event exceeds the limit; nothing further may then be fed.
    [[nodiscard]] bool feed(std::string_view bytes,
                            const std::function<void(const stream_event&)>& on_event);
    /// True when bytes of an event without its closing blank line remain.
    [[nodiscard]] bool torn() const { return !rest_.empty(); }

private:
    std::size_t event_limit_;
    std::string rest_; ///< an unfinished event
};

} // namespace wagtailhitch
