#include "net/retry_after.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wagtailhitch::detail {

std::optional<duration> parse_retry_after(std::string_view text, duration longest)
{
    const bool is_number = !text.empty() && std::ranges::all_of(text, [](char c) {
        return (c >= '0' && c <= '9') || c == '.';
    });
    double seconds = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (!is_number || end != text.data() + text.size()) {
        return std::nullopt;
    }
    if (failure == std::errc::result_out_of_range) {
        return longest;
    }
    if (failure != std::errc{}) {
        return std::nullopt;
    }
    const double limit = std::chrono::duration<double>(longest).count();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, limit)));
}

} // namespace wagtailhitch::detail
