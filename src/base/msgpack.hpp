#pragma once

#include "base/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

// MessagePack for records and messages, with typed reading of positional fields.
//
//   expected<nlohmann::json> value = decode_msgpack(data, step::claim, "claim batch");
//   field_reader in{*value};
//   auto id = in.number();
//   auto name = in.text();
//   if (!in.complete()) { return tl::unexpected(malformed(step::claim, "claim batch")); }

namespace wagtailhitch {

/// The error of a record or message that cannot be read.
error malformed(step at, std::string_view what);

std::string encode_msgpack(const nlohmann::json& value);

/// Errors: malformed_request when the data is not one MessagePack value, or is nested deeper than
/// 16 levels, which would let a record exhaust the stack of the recursive decoder.
expected<nlohmann::json> decode_msgpack(std::string_view data, step at, std::string_view what);

/// Reads the elements of an array in order. Elements after the last one read are ignored, so that a
/// newer writer may append fields.
class field_reader {
public:
    explicit field_reader(const nlohmann::json& array);

    std::string text();
    std::uint64_t number();
    std::int64_t integer();
    bool flag();
    /// An empty array when the element is missing or not an array.
    const nlohmann::json& array();
    /// Returns false and skips the next element when it is null.
    bool present();

    /// True when every element that was read existed and had the requested type.
    [[nodiscard]] bool complete() const { return complete_; }

private:
    const nlohmann::json* next();

    const nlohmann::json& array_;
    std::size_t position_{0};
    bool complete_{true};
};

} // namespace wagtailhitch
