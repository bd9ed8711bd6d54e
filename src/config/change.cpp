#include "config/change.hpp"

#include "config/json_reader.hpp"
#include "config/parse.hpp"

#include <algorithm>

namespace wagtailhitch {

namespace {

using nlohmann::json;
using part_kind = config_part::part_kind;

constexpr std::size_t signature_digits = 128;
constexpr std::size_t author_digits = 64;
constexpr std::size_t max_submission_length = 64;
// Reserved in each record for the fields of a part other than its data.
constexpr std::size_t header_bytes = 400;

error invalid(std::string detail)
{
    return error{error_code::config_invalid, step::configure,   {},
                 run_state::not_run,         std::move(detail), {}};
}

/// Escapes all non-ASCII characters, so that the text can be split at any byte.
std::string dump_ascii(const json& value)
{
    return value.dump(-1, ' ', true);
}

/// Returns the text that is signed. Its prefix prevents a signature from being valid for any other
/// type of message.
std::string signed_content(const config_change& change)
{
    return "wagtailhitch-change-1\n" + dump_ascii({{"submission", change.submission},
                                                   {"base", change.base},
                                                   {"patch", change.patch},
                                                   {"digest", change.digest},
                                                   {"author", change.author}});
}

/// Returns the length of the longest prefix that fits into one record as a JSON string.
std::size_t slice_length(std::string_view text)
{
    std::size_t remaining_bytes = max_config_record_bytes - header_bytes;
    std::size_t n = 0;
    for (; n < text.size(); ++n) {
        const std::size_t escaped_bytes = text[n] == '"' || text[n] == '\\' ? 2 : 1;
        if (escaped_bytes > remaining_bytes) {
            break;
        }
        remaining_bytes -= escaped_bytes;
    }
    return n;
}

bool is_text(const json& object, const char* key, std::size_t lowest, std::size_t highest)
{
    const auto it = object.find(key);
    if (it == object.end() || !it->is_string()) {
        return false;
    }
    const auto size = it->get_ref<const std::string&>().size();
    return size >= lowest && size <= highest;
}

bool is_count(const json& object, const char* key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_number_unsigned();
}

expected<json> parse_object(std::string_view text)
{
    config_errors errors;
    auto parsed = detail::parse_text("record", text, errors);
    if (!parsed || !errors.empty()) {
        return tl::unexpected(invalid(to_string(errors)));
    }
    if (!parsed->is_object()) {
        return tl::unexpected(invalid("The record is not a JSON object."));
    }
    return std::move(*parsed);
}

} // namespace

expected<config_change> make_change(const std::string& submission, revision base_revision,
                                    const document& base, const document& target,
                                    const operator_key& key)
{
    config_change out;
    out.submission = submission;
    out.base = base_revision;
    out.patch = json::diff(to_json(base), to_json(target));
    out.digest = document_digest(target);
    out.author = to_hex(key.public_key);
    auto signature = sign_ed25519(key.private_key, signed_content(out));
    if (!signature) {
        return tl::unexpected(signature.error());
    }
    out.signature = to_hex(*signature);
    return out;
}

bool verify_signature(const config_change& change)
{
    const auto author = from_hex(change.author);
    const auto signature = from_hex(change.signature);
    return author && signature && verify_ed25519(*author, signed_content(change), *signature);
}

expected<std::vector<std::string>> encode_parts(part_kind kind, const std::string& name,
                                                std::string_view joined)
{
    std::vector<std::string_view> slices;
    for (auto rest = joined; !rest.empty();) {
        const auto n = slice_length(rest);
        slices.push_back(rest.substr(0, n));
        rest.remove_prefix(n);
    }
    if (slices.size() > max_config_parts) {
        return tl::unexpected(invalid("The content needs " + std::to_string(slices.size()) +
                                      " records, the limit is " + std::to_string(max_config_parts) +
                                      "."));
    }
    const auto content = digest128_hex(joined);
    std::vector<std::string> out;
    out.reserve(slices.size());
    for (const auto slice : slices) {
        out.push_back(dump_ascii({{"kind", kind == part_kind::change ? "change" : "snapshot"},
                                  {"name", name},
                                  {"content", content},
                                  {"part", out.size()},
                                  {"parts", slices.size()},
                                  {"data", slice}}));
    }
    return out;
}

expected<std::vector<std::string>> encode_change(const config_change& change)
{
    const auto content = signed_content(change);
    const auto body = std::string_view{content}.substr(content.find('\n') + 1);
    return encode_parts(part_kind::change, change.submission, change.signature + std::string{body});
}

expected<config_part> decode_part(std::string_view record)
{
    if (record.size() > max_config_record_bytes) {
        return tl::unexpected(
            invalid("The record has " + std::to_string(record.size()) + " bytes."));
    }
    const auto parsed = parse_object(record);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const auto& in = *parsed;
    if (!is_text(in, "kind", 1, 16) || !is_text(in, "name", 1, max_submission_length) ||
        !is_text(in, "content", 1, 32) || !is_text(in, "data", 0, max_config_record_bytes) ||
        !is_count(in, "part") || !is_count(in, "parts")) {
        return tl::unexpected(invalid("The record lacks a field of a part."));
    }
    const auto kind = in.at("kind").get<std::string>();
    const auto part = in.at("part").get<std::uint64_t>();
    const auto parts = in.at("parts").get<std::uint64_t>();
    if ((kind != "change" && kind != "snapshot") || part >= parts || parts > max_config_parts) {
        return tl::unexpected(invalid("The record is no part of a change or snapshot."));
    }
    return config_part{kind == "change" ? part_kind::change : part_kind::snapshot,
                       in.at("name").get<std::string>(),
                       in.at("content").get<std::string>(),
                       static_cast<std::uint32_t>(part),
                       static_cast<std::uint32_t>(parts),
                       in.at("data").get<std::string>()};
}

expected<config_change> decode_change(std::string_view joined)
{
    if (joined.size() < signature_digits) {
        return tl::unexpected(invalid("The change is shorter than its signature."));
    }
    const auto parsed = parse_object(joined.substr(signature_digits));
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const auto& in = *parsed;
    const auto patch = in.find("patch");
    if (!is_text(in, "submission", 1, max_submission_length) || !is_text(in, "digest", 1, 32) ||
        !is_text(in, "author", author_digits, author_digits) || !is_count(in, "base") ||
        patch == in.end() || !patch->is_array()) {
        return tl::unexpected(invalid("The change lacks a field."));
    }
    config_change out;
    out.submission = in.at("submission").get<std::string>();
    out.base = in.at("base").get<revision>();
    out.patch = *patch;
    out.digest = in.at("digest").get<std::string>();
    out.author = in.at("author").get<std::string>();
    out.signature = joined.substr(0, signature_digits);
    return out;
}

} // namespace wagtailhitch
