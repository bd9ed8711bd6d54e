#pragma once

#include "base/digest.hpp"
#include "base/ids.hpp"
#include "config/document.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Encodes and decodes the records of the log stream `config`: signed changes and snapshots, each
// split into parts.
//
//   auto change = make_change("s-17", fold.current_revision(), *fold.current(), target, author);
//   auto records = encode_change(change);          // append all of them to the stream `config`

namespace wagtailhitch {

/// Name of the stream that carries changes and snapshots.
inline constexpr std::string_view config_stream = "config";

/// Maximum size of one record of the stream.
inline constexpr std::size_t max_config_record_bytes = std::size_t{32} * 1024;

/// Maximum number of parts of one change or snapshot. It allows about 4 MiB, four times the size of
/// the document expected at 3,600 upstreams.
inline constexpr std::uint32_t max_config_parts = 256;

/// A change submitted by an operator. The signature covers every other field.
struct config_change {
    std::string submission;
    revision base{0};
    nlohmann::json patch;  ///< RFC 6902, against the canonical JSON of the base document
    std::string digest;    ///< document_digest() of the changed document
    std::string author;    ///< public key, 64 hexadecimal digits
    std::string signature; ///< 128 hexadecimal digits

    friend bool operator==(const config_change&, const config_change&) = default;
};

/// Returns the change that turns `base` into `target`, signed with `key`.
expected<config_change> make_change(const std::string& submission, revision base_revision,
                                    const document& base, const document& target,
                                    const operator_key& key);

/// Returns whether the signature is valid for the change's content and author.
bool verify_signature(const config_change& change);

/// One part of a change or of a snapshot; each record holds one part.
struct config_part {
    enum class part_kind { change, snapshot };

    part_kind kind{part_kind::change};
    std::string name;    ///< change: submission id; snapshot: "next offset/revision"
    std::string content; ///< digest of the joined data; only parts with equal digests are joined
    std::uint32_t part{0};
    std::uint32_t parts{1};
    std::string data;

    friend bool operator==(const config_part&, const config_part&) = default;
};

/// Splits the data of a change or snapshot into records. `name` identifies the change or snapshot
/// that a part belongs to. Errors: config_invalid when more than max_config_parts parts are needed.
expected<std::vector<std::string>> encode_parts(config_part::part_kind kind,
                                                const std::string& name, std::string_view joined);

/// Encodes a change as records of at most max_config_record_bytes each. Errors: config_invalid when
/// more than max_config_parts parts are needed.
expected<std::vector<std::string>> encode_change(const config_change& change);

/// Decodes one record. Errors: config_invalid when it is not a part of a change or snapshot.
expected<config_part> decode_part(std::string_view record);

/// Decodes a change from the joined data of its parts. Errors: config_invalid.
expected<config_change> decode_change(std::string_view joined);

} // namespace wagtailhitch
