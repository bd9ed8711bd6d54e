#include "cli/files.hpp"

#include "cli/commands.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace wagtailhitch::cli {

namespace {

using nlohmann::json;

error file_error(const std::string& path, std::string detail)
{
    return error{error_code::config_invalid, step::configure,   path,
                 run_state::not_run,         std::move(detail), {}};
}

expected<std::vector<std::string>> list_directory(const std::string& path)
{
    std::vector<std::string> out;
    std::error_code ec;
    for (const auto& entry : std::filesystem::directory_iterator{path, ec}) {
        if (entry.path().extension() == ".json") {
            out.push_back(entry.path().string());
        }
    }
    if (ec) {
        return tl::unexpected(file_error(path, ec.message()));
    }
    if (out.empty()) {
        return tl::unexpected(file_error(path, "The directory has no *.json file."));
    }
    std::ranges::sort(out);
    return out;
}

} // namespace

expected<std::string> read_file(const std::string& path)
{
    errno = 0;
    std::ifstream in{path, std::ios::binary};
    std::string out{std::istreambuf_iterator<char>{in}, {}};
    if (!in) {
        return tl::unexpected(file_error(path, std::strerror(errno)));
    }
    return out;
}

expected<std::vector<config_file>> read_files(const std::vector<std::string>& paths)
{
    std::vector<config_file> out;
    for (const auto& path : paths) {
        std::vector<std::string> names{path};
        if (std::filesystem::is_directory(path)) {
            auto listed = list_directory(path);
            if (!listed) {
                return tl::unexpected(listed.error());
            }
            names = std::move(*listed);
        }
        for (const auto& name : names) {
            auto text = read_file(name);
            if (!text) {
                return tl::unexpected(text.error());
            }
            out.push_back({name, std::move(*text)});
        }
    }
    return out;
}

std::optional<node_settings> load_settings(const std::string& path, int& status)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": " << text.error().detail << '\n';
        status = status_failed;
        return std::nullopt;
    }
    auto settings = parse_settings(path, *text);
    if (!settings) {
        std::cerr << to_string(settings.error());
        status = status_invalid;
        return std::nullopt;
    }
    return std::move(*settings);
}

std::optional<document> load_document(const std::vector<std::string>& paths, int& status)
{
    const auto files = read_files(paths);
    if (!files) {
        std::cerr << files.error().peer << ": " << files.error().detail << '\n';
        status = status_failed;
        return std::nullopt;
    }
    auto doc = parse_files(*files);
    if (!doc) {
        std::cerr << to_string(doc.error());
        status = status_invalid;
        return std::nullopt;
    }
    return std::move(*doc);
}

std::string format_key(const operator_key& key)
{
    return json{{"private_key", to_hex(key.private_key)}, {"public_key", to_hex(key.public_key)}}
               .dump(2) +
           "\n";
}

expected<operator_key> read_key(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto parsed = json::parse(*text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("private_key") || !parsed.contains("public_key") ||
        !parsed.at("private_key").is_string() || !parsed.at("public_key").is_string()) {
        return tl::unexpected(
            file_error(path, "The file is not a key pair written by \"wagtailhitch keygen\"."));
    }
    const auto private_key = from_hex(parsed.at("private_key").get<std::string>());
    const auto public_key = from_hex(parsed.at("public_key").get<std::string>());
    const auto signature = private_key ? sign_ed25519(*private_key, path) : expected<std::string>{};
    if (!private_key || !public_key || !signature ||
        !verify_ed25519(*public_key, path, *signature)) {
        return tl::unexpected(
            file_error(path, "The file's public key does not match its private key."));
    }
    return operator_key{*private_key, *public_key};
}

} // namespace wagtailhitch::cli
