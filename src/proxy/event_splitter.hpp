#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

// Splits the bytes of a server-sent event stream into complete events and leaves their bytes
// unchanged.
//
//   event_splitter events{64 * 1024};
//   bool ok = events.feed(bytes, [](const stream_event& event) { forward(event.bytes); });
//   if (events.has_partial_event()) { the stream ended within an event }

namespace wagtailhitch {

struct stream_event {
    std::string_view bytes; ///< includes the blank line that ends it
    std::optional<std::uint64_t> id;
};

class event_splitter {
public:
    explicit event_splitter(std::size_t event_limit) : event_limit_{event_limit} {}

    /// Returns false when an event exceeds the limit. feed() must not be called again after that.
    [[nodiscard]] bool feed(std::string_view bytes,
                            const std::function<void(const stream_event&)>& on_event);
    /// True when the bytes so far end within an event, before its terminating blank line.
    [[nodiscard]] bool has_partial_event() const { return !partial_event_.empty(); }
    /// Bytes held of the event that is not complete yet.
    [[nodiscard]] std::size_t partial_bytes() const { return partial_event_.size(); }

private:
    std::size_t event_limit_;
    std::string partial_event_; ///< bytes of an incomplete event
};

} // namespace wagtailhitch
