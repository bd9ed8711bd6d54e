#pragma once

#include "base/names.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// Datagrams that VMs exchange, and their kinds. Every datagram is a MessagePack array. Its first
// field is the name of its kind, except in reports.
//
//   switch (kind_of_datagram(data)) { case datagram_kind::bills: ... }

namespace wagtailhitch {

/// A message from one VM to another.
struct datagram {
    std::string address; ///< address of the receiver, "IP:port"
    std::string data;
};

enum class datagram_kind : std::uint8_t { report, records, bills, stored_bills };

template<>
inline constexpr auto enum_names<datagram_kind> = name_table<datagram_kind, 4>{{
    {datagram_kind::report, "report"},
    {datagram_kind::records, "records"},
    {datagram_kind::bills, "bills"},
    {datagram_kind::stored_bills, "stored"},
}};

/// Detects the kind from the first bytes. Unrecognized data counts as a report, whose decoder
/// rejects it if it is malformed.
datagram_kind kind_of_datagram(std::string_view data);

} // namespace wagtailhitch
