#include "cli/commands.hpp"
#include "cli/files.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <iostream>
#include <memory>

namespace wagtailhitch::cli {

namespace {

/// Creates a file that only its owner can access; never replaces an existing file.
bool write_private_file(const std::string& path, const std::string& text)
{
    constexpr mode_t owner_only = 0600;
    const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, owner_only);
    if (file < 0) {
        return false;
    }
    const auto n = write(file, text.data(), text.size());
    return close(file) == 0 && n == static_cast<ssize_t>(text.size());
}

int keygen(const std::string& path)
{
    const auto key = generate_operator_key();
    if (!write_private_file(path, format_key(key))) {
        std::cerr << path << ": " << std::strerror(errno) << '\n';
        return status_failed;
    }
    std::cout << to_hex(key.public_key) << '\n';
    return status_ok;
}

} // namespace

void add_keygen(CLI::App& app, command& chosen)
{
    auto* sub =
        app.add_subcommand("keygen", "Generate an operator's key pair and print its public key");
    const auto path = std::make_shared<std::string>();
    sub->add_option("FILE", *path, "The new key file; an existing file is not replaced")
        ->required();
    sub->callback([path, &chosen] { chosen = [path] { return keygen(*path); }; });
}

} // namespace wagtailhitch::cli
