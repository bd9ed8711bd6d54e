#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "config/config_error.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// Reads the settings of one node from a JSON file. docs/configuration.md contains an example.
//
//   auto settings = parse_settings("node.json", text);
//   if (!settings) { std::cerr << to_string(settings.error()); }
//   listen(settings->caller_listen);

namespace wagtailhitch {

/// Addresses of the platform's services as "IP:port". Only `log` is required; an address is empty
/// when the deployment does not have the service.
struct platform_addresses {
    std::string log;
    std::string vm_list;
    std::string ratings;
    std::string weights;

    friend bool operator==(const platform_addresses&, const platform_addresses&) = default;
};

struct node_limits {
    std::size_t ring_entries{4096};
    std::size_t header_bytes{std::size_t{16} * 1024};
    std::size_t body_bytes{std::size_t{1024} * 1024};
    std::size_t prompt_bytes{std::size_t{512} * 1024};
    std::size_t peer_frame_bytes{std::size_t{1024} * 1024};
    std::size_t bill_buffer_bytes{std::size_t{32} * 1024 * 1024};

    friend bool operator==(const node_limits&, const node_limits&) = default;
};

struct node_settings {
    vm_id vm;
    failure_domain_id failure_domain;
    region_id region;
    std::string caller_listen;    ///< "IP:port"; port 0: the kernel chooses
    std::string peer_listen;      ///< "IP:port"; port 0: the kernel chooses
    std::string caller_port_file; ///< optional: the chosen caller port is written here
    std::string peer_port_file;   ///< optional: the chosen peer port is written here
    platform_addresses platform;
    std::string cluster_key;                          ///< raw bytes, 32 or more
    std::string session_key;                          ///< raw bytes, 32 or more
    std::map<std::string, std::string> operator_keys; ///< operator's name -> raw Ed25519 public key
    node_limits limits;
    duration log_retention{std::chrono::hours{24}}; ///< retention time of records in the log
    std::string log_directory;                      ///< optional: empty for standard error

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Validates the whole text and returns every error found. Unknown keys are errors; `//` comments
/// are allowed.
checked<node_settings> parse_settings(const std::string& file, std::string_view text);

/// An IP address and a port. In text, IPv6 addresses take the form "[::1]:80".
struct socket_address {
    std::string ip;
    std::uint16_t port{0};
};

/// Parses "IP:port". Errors: config_invalid when the text has another form.
expected<socket_address> parse_socket_address(std::string_view text);

} // namespace wagtailhitch
