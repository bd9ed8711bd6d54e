#include "config/settings.hpp"

#include "base/digest.hpp"
#include "config/json_reader.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace wagtailhitch {

namespace {

using detail::count_range;
using detail::error_sink;
using detail::object_reader;
using nlohmann::json;

constexpr std::size_t min_key_bytes = 32;
constexpr std::size_t operator_key_bytes = 32;
constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t gibibyte = 1024ULL * 1024 * 1024;

error address_error(std::string_view text)
{
    return error{error_code::config_invalid,
                 step::configure,
                 std::string{text},
                 run_state::not_run,
                 "The address is not IP:port.",
                 {}};
}

bool valid_ip(const std::string& ip)
{
    std::array<unsigned char, sizeof(in6_addr)> raw{};
    return inet_pton(AF_INET, ip.c_str(), raw.data()) == 1 ||
           inet_pton(AF_INET6, ip.c_str(), raw.data()) == 1;
}

/// Reads an "IP:port" address. Port 0 is allowed only for listeners.
std::string read_address(object_reader& in, std::string_view key, bool listener)
{
    auto text = in.text(key);
    if (text.empty()) {
        return {};
    }
    const auto parsed = parse_socket_address(text);
    if (!parsed || (parsed->port == 0 && !listener)) {
        in.fail(key, '"' + text + '"', listener ? "IP:port" : "IP:port with a port from 1");
        return {};
    }
    return text;
}

std::string read_optional_address(object_reader& in, std::string_view key)
{
    return in.find(key) == nullptr ? std::string{} : read_address(in, key, false);
}

/// Reads a secret key. Error messages never include the key itself.
std::string read_key(object_reader& in, std::string_view key)
{
    const std::string wanted = "64 or more hexadecimal digits";
    const auto* found = in.require(key, wanted);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string()) {
        in.fail(key, "a value that is not a text", wanted);
        return {};
    }
    const auto& text = found->get_ref<const std::string&>();
    const auto raw = from_hex(text);
    if (!raw || raw->size() < min_key_bytes) {
        in.fail(key, "a text of " + std::to_string(text.size()) + " characters", wanted);
        return {};
    }
    return *raw;
}

platform_addresses read_platform(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    platform_addresses out;
    out.log = read_address(in, "log", false);
    out.vm_list = read_optional_address(in, "vm_list");
    out.ratings = read_optional_address(in, "ratings");
    out.weights = read_optional_address(in, "weights");
    in.finish();
    return out;
}

node_limits read_limits(const json& value, const std::string& path, error_sink& sink)
{
    object_reader in{value, path, sink};
    node_limits out;
    const count_range entries{16, 1024ULL * 1024};
    const count_range bytes{kibibyte, gibibyte};
    out.ring_entries = in.count_or("ring_entries", entries, out.ring_entries);
    out.header_bytes = in.count_or("header_bytes", bytes, out.header_bytes);
    out.body_bytes = in.count_or("body_bytes", bytes, out.body_bytes);
    out.prompt_bytes = in.count_or("prompt_bytes", bytes, out.prompt_bytes);
    out.peer_frame_bytes = in.count_or("peer_frame_bytes", bytes, out.peer_frame_bytes);
    out.bill_buffer_bytes = in.count_or("bill_buffer_bytes", bytes, out.bill_buffer_bytes);
    in.finish();
    return out;
}

std::map<std::string, std::string> read_operator_keys(object_reader& in, error_sink& sink)
{
    std::map<std::string, std::string> out;
    in.each_member("operator_keys", [&](const auto& name, const json& value, const auto& path) {
        const auto raw = value.is_string() ? from_hex(value.get_ref<const std::string&>())
                                           : expected<std::string>{};
        if (raw && raw->size() == operator_key_bytes) {
            out.emplace(name, *raw);
        }
        else {
            sink.add(path, detail::value_excerpt(value),
                     "an Ed25519 public key of 64 hexadecimal digits");
        }
    });
    const auto* found = in.require("operator_keys", "an object of operators' public keys");
    if (found != nullptr && found->is_object() && found->empty()) {
        in.fail("operator_keys", "no key", "at least one operator's public key");
    }
    return out;
}

node_settings read_settings(const json& value, error_sink& sink)
{
    object_reader in{value, "", sink};
    node_settings out;
    out.vm = vm_id{in.name("vm")};
    out.failure_domain = failure_domain_id{in.name("failure_domain")};
    out.region = region_id{in.name("region")};
    out.caller_listen = read_address(in, "caller_listen", true);
    out.peer_listen = read_address(in, "peer_listen", true);
    out.caller_port_file = in.text_or("caller_port_file", {});
    out.peer_port_file = in.text_or("peer_port_file", {});
    if (const auto* platform = in.require("platform", "an object of addresses")) {
        out.platform = read_platform(*platform, in.path_of("platform"), sink);
    }
    out.cluster_key = read_key(in, "cluster_key");
    out.session_key = read_key(in, "session_key");
    out.operator_keys = read_operator_keys(in, sink);
    if (const auto* limits = in.find("limits")) {
        out.limits = read_limits(*limits, in.path_of("limits"), sink);
    }
    constexpr std::uint64_t month_s = 31ULL * 24 * 3600;
    out.log_retention = std::chrono::seconds{in.count_or(
        "log_retention_s", {1, month_s},
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::seconds>(out.log_retention).count()))};
    out.log_directory = in.text_or("log_directory", {});
    in.finish();
    return out;
}

} // namespace

checked<node_settings> parse_settings(const std::string& file, std::string_view text)
{
    config_errors errors;
    const auto json = detail::parse_text(file, text, errors);
    if (!json) {
        return tl::unexpected(errors);
    }
    error_sink sink{[&file](const std::string&) { return file; }};
    auto out = read_settings(*json, sink);
    errors.insert(errors.end(), sink.errors().begin(), sink.errors().end());
    if (!errors.empty()) {
        return tl::unexpected(errors);
    }
    return out;
}

expected<socket_address> parse_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(address_error(text));
    }
    socket_address out;
    out.ip = text.substr(0, colon);
    if (out.ip.size() > 2 && out.ip.front() == '[' && out.ip.back() == ']') {
        out.ip = out.ip.substr(1, out.ip.size() - 2);
    }
    else if (out.ip.find(':') != std::string::npos) {
        return tl::unexpected(address_error(text));
    }
    const auto port = text.substr(colon + 1);
    const auto* end = port.data() + port.size();
    const auto [stop, ec] = std::from_chars(port.data(), end, out.port);
    if (ec != std::errc{} || stop != end || !valid_ip(out.ip)) {
        return tl::unexpected(address_error(text));
    }
    return out;
}

} // namespace wagtailhitch
