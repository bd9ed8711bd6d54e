#pragma once

#include "base/names.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// Datagrams between VMs and their kinds. All but reports begin with the name of their kind, as the
// first field of a MessagePack array.
//
//   switch (kind_of_datagram(data)) { case datagram_kind::bills: ... }

namespace wagtailhitch {

/// What one VM sends to another.
struct datagram {
    std::string address; ///< of the receiver, "IP:port"
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

/// Told by the first bytes; what cannot be told is taken for a report, whose decoder rejects it.
datagram_kind kind_of_datagram(std::string_view data);

} // namespace wagtailhitch
