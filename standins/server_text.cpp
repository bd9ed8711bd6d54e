#include "server_text.hpp"

#include <array>
#include <cctype>
#include <cstdio>
#include <stdexcept>

namespace wagtailhitch::standins {

namespace {

std::string_view reason_phrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size();
        if (escape && hex_value(text[i + 1]) >= 0 && hex_value(text[i + 2]) >= 0) {
            out.push_back(static_cast<char>(hex_value(text[i + 1]) * 16 + hex_value(text[i + 2])));
            i += 2;
            continue;
        }
        out.push_back(text[i]);
    }
    return out;
}

} // namespace

std::string whole_response(unsigned status, std::string_view type, std::string_view body,
                           std::string_view headers)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += reason_phrase(status);
    out += "\r\nContent-Type: ";
    out += type;
    out += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    out += headers;
    out += "\r\n";
    out += body;
    return out;
}

std::string event_stream_head(std::string_view headers)
{
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n";
    out += headers;
    out += "\r\n";
    return out;
}

std::string event_chunk(std::string_view data)
{
    constexpr std::string_view prefix = "data: ";
    constexpr std::string_view suffix = "\n\n";
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", prefix.size() + data.size() + suffix.size());
    std::string out{size.data()};
    out += prefix;
    out += data;
    out += suffix;
    out += "\r\n";
    return out;
}

std::string lower_case(std::string_view text)
{
    std::string out{text};
    for (char& c : out) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return out;
}

void split_target(std::string_view target, http_request& request)
{
    const auto query_start = target.find('?');
    request.path = percent_decode(target.substr(0, query_start));
    if (query_start == std::string_view::npos) {
        return;
    }
    std::string_view rest = target.substr(query_start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view item = rest.substr(0, end);
        const auto equals = item.find('=');
        const std::string name = percent_decode(item.substr(0, equals));
        request.query[name] =
            equals == std::string_view::npos ? "" : percent_decode(item.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
}

std::string http_request::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string{} : it->second;
}

std::uint64_t http_request::number(const std::string& name, std::uint64_t fallback) const
{
    const auto it = query.find(name);
    if (it == query.end()) {
        return fallback;
    }
    std::size_t used = 0;
    const std::uint64_t out = std::stoull(it->second, &used);
    if (used != it->second.size()) {
        throw std::invalid_argument{"The query parameter " + name + " is not a number."};
    }
    return out;
}

} // namespace wagtailhitch::standins
