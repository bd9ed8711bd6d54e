#include "net/percent_encoding.hpp"

namespace wagtailhitch::detail {

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    std::string out;
    for (const char c : text) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || unreserved.find(c) != std::string_view::npos;
        if (plain) {
            out.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 0xfU]);
    }
    return out;
}

} // namespace wagtailhitch::detail
