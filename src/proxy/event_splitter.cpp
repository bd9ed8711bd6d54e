#include "proxy/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace wagtailhitch {

namespace {

/// Returns the position after the blank line that ends the first event, or npos.
std::size_t end_of_event(std::string_view text)
{
    std::size_t line_start = 0;
    while (true) {
        const std::size_t newline = text.find('\n', line_start);
        if (newline == std::string_view::npos) {
            return newline;
        }
        const bool blank =
            newline == line_start || (newline == line_start + 1 && text[line_start] == '\r');
        if (blank && line_start > 0) {
            return newline + 1;
        }
        line_start = newline + 1;
    }
}

std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t at = event.starts_with(field) ? 0 : event.find("\nid:");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    at += event[at] == '\n' ? field.size() + 1 : field.size();
    while (at < event.size() && event[at] == ' ') {
        ++at;
    }
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(event.data() + at, event.data() + event.size(), value);
    return ec == std::errc{} ? std::optional{value} : std::nullopt;
}

} // namespace

bool event_splitter::feed(std::string_view bytes,
                          const std::function<void(const stream_event&)>& on_event)
{
    std::string joined;
    if (!partial_event_.empty()) {
        joined = std::move(partial_event_);
        joined.append(bytes);
        bytes = joined;
        partial_event_.clear();
    }
    while (!bytes.empty()) {
        const std::size_t end = end_of_event(bytes);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view event = bytes.substr(0, end);
        on_event({event, parse_event_id(event)});
        bytes.remove_prefix(end);
    }
    partial_event_ = std::string{bytes};
    return partial_event_.size() <= event_limit_;
}

} // namespace wagtailhitch
