#include "proxy/datagram.hpp"

#include <string>

namespace wagtailhitch {

namespace {

/// MessagePack header of a string of up to 31 bytes (fixstr).
constexpr unsigned char fixstr_header = 0xa0;
/// The kind follows the one-byte header of an array of up to 15 elements (fixarray).
constexpr std::size_t kind_offset = 1;

} // namespace

datagram_kind kind_of_datagram(std::string_view data)
{
    for (const auto kind :
         {datagram_kind::records, datagram_kind::bills, datagram_kind::stored_bills}) {
        const std::string_view name = name_of(kind);
        std::string field(1, static_cast<char>(fixstr_header | name.size()));
        field += name;
        if (data.size() > kind_offset && data.substr(kind_offset).starts_with(field)) {
            return kind;
        }
    }
    return datagram_kind::report;
}

} // namespace wagtailhitch
