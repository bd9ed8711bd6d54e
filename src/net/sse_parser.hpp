#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

// Splits a stream of server-sent events.
//
//   sse_parser parser{64 * 1024};
//   bool ok = parser.feed(bytes, [](std::string_view data) { ... });   // each event's data
//
// Only `data` fields are reported; comments and other fields are skipped.

namespace wagtailhitch::detail {

class sse_parser {
public:
    /// `event_limit` bounds the bytes of one event.
    explicit sse_parser(std::size_t event_limit) : event_limit_{event_limit} {}

    /// Returns false when an event exceeds the limit; nothing further may then be fed.
    [[nodiscard]] bool feed(std::string_view bytes,
                            const std::function<void(std::string_view)>& on_event);
    /// True when bytes of an event without its closing blank line remain.
    [[nodiscard]] bool has_unfinished_event() const { return !line_.empty() || has_data_; }

private:
    void process_line(std::string_view line, const std::function<void(std::string_view)>& on_event);

    std::size_t event_limit_;
    std::string line_;
    std::string data_;
    bool has_data_{false};
};

} // namespace wagtailhitch::detail
