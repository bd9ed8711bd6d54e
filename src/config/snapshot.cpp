#include "config/fold.hpp"
#include "config/json_reader.hpp"
#include "config/parse.hpp"

namespace wagtailhitch {

namespace {

using nlohmann::json;

constexpr std::size_t mac_digits = 64;
constexpr std::string_view mac_purpose = "wagtailhitch-snapshot-1\n";

error invalid(std::string detail)
{
    return error{error_code::config_invalid, step::configure,   {},
                 run_state::not_run,         std::move(detail), {}};
}

std::string mac_of(std::string_view cluster_key, std::string_view body)
{
    return to_hex(hmac_sha256(cluster_key, std::string{mac_purpose} + std::string{body}));
}

json write_verdict(const change_verdict& verdict)
{
    json out{{"submission", verdict.submission},
             {"offset", verdict.offset},
             {"author", verdict.author},
             {"at", verdict.at}};
    if (verdict.refused) {
        out["refused"] = name_of(*verdict.refused);
        out["detail"] = verdict.detail;
    }
    return out;
}

change_verdict read_verdict(const json& in)
{
    change_verdict out;
    out.submission = in.at("submission").get<std::string>();
    out.offset = in.at("offset").get<log_offset>();
    out.author = in.at("author").get<std::string>();
    out.at = in.at("at").get<revision>();
    if (in.contains("refused")) {
        out.refused = parse_name<reject_reason>(in.at("refused").get<std::string>())
                          .value_or(reject_reason::malformed);
        out.detail = in.at("detail").get<std::string>();
    }
    return out;
}

json write_pending(const pending_change& change)
{
    json data = json::object();
    for (const auto& [part, text] : change.data) {
        data[std::to_string(part)] = text;
    }
    return {{"submission", change.submission},
            {"content", change.content},
            {"parts", change.parts},
            {"first_offset", change.first_offset},
            {"data", std::move(data)}};
}

pending_change read_pending(const json& in)
{
    pending_change out;
    out.submission = in.at("submission").get<std::string>();
    out.content = in.at("content").get<std::string>();
    out.parts = in.at("parts").get<std::uint32_t>();
    out.first_offset = in.at("first_offset").get<log_offset>();
    for (const auto& [part, text] : in.at("data").items()) {
        out.data.emplace(static_cast<std::uint32_t>(std::stoul(part)), text.get<std::string>());
    }
    return out;
}

config_snapshot read_snapshot(const json& in, document doc)
{
    config_snapshot out;
    out.next = in.at("next").get<log_offset>();
    out.at = in.at("at").get<revision>();
    out.author = in.at("author").get<std::string>();
    out.doc = std::make_shared<const document>(std::move(doc));
    for (const auto& item : in.at("verdicts")) {
        out.verdicts.push_back(read_verdict(item));
    }
    for (const auto& item : in.at("pending")) {
        out.pending.push_back(read_pending(item));
    }
    return out;
}

} // namespace

json to_json(const config_snapshot& snapshot)
{
    json out{{"next", snapshot.next},     {"at", snapshot.at},
             {"author", snapshot.author}, {"document", to_json(*snapshot.doc)},
             {"verdicts", json::array()}, {"pending", json::array()}};
    for (const auto& verdict : snapshot.verdicts) {
        out["verdicts"].push_back(write_verdict(verdict));
    }
    for (const auto& change : snapshot.pending) {
        out["pending"].push_back(write_pending(change));
    }
    return out;
}

expected<config_snapshot> snapshot_from_json(const json& in)
{
    if (!in.is_object() || !in.contains("document")) {
        return tl::unexpected(invalid("The snapshot is not a JSON object with a document."));
    }
    auto doc = parse_document(in.at("document"), "snapshot");
    if (!doc) {
        return tl::unexpected(invalid(to_string(doc.error())));
    }
    try {
        return read_snapshot(in, std::move(*doc));
    }
    catch (const std::exception& e) {
        return tl::unexpected(invalid(std::string{"The snapshot is malformed: "} + e.what()));
    }
}

expected<std::vector<std::string>> encode_snapshot(const config_snapshot& snapshot,
                                                   std::string_view cluster_key)
{
    const auto body = to_json(snapshot).dump(-1, ' ', true);
    const auto name = std::to_string(snapshot.next) + "/" + std::to_string(snapshot.at);
    return encode_parts(config_part::part_kind::snapshot, name, mac_of(cluster_key, body) + body);
}

expected<config_snapshot> decode_snapshot(std::string_view joined, std::string_view cluster_key)
{
    const auto body = joined.substr(std::min(mac_digits, joined.size()));
    if (!equal_constant_time(joined.substr(0, mac_digits), mac_of(cluster_key, body))) {
        return tl::unexpected(error{error_code::signature_invalid,
                                    step::configure,
                                    {},
                                    run_state::not_run,
                                    "The snapshot is not authenticated by the cluster key.",
                                    {}});
    }
    config_errors errors;
    const auto parsed = detail::parse_text("snapshot", body, errors);
    if (!parsed) {
        return tl::unexpected(invalid(to_string(errors)));
    }
    return snapshot_from_json(*parsed);
}

} // namespace wagtailhitch
