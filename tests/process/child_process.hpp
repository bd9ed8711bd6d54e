#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

// A program started by a test, and a directory for its files.
//
//   scratch_directory files;
//   child_process log{STANDIN_BINARY, {"log", "--port-file", files.path("log")}};
//   std::uint16_t port = wait_for_port(files.path("log"));
//   log.send_signal(SIGTERM);
//   int code = log.wait();

namespace wagtailhitch::testing {

/// A temporary directory; the destructor removes it with its contents.
class scratch_directory {
public:
    scratch_directory();
    ~scratch_directory();
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;

    [[nodiscard]] std::string path(const std::string& name) const
    {
        return (root_ / name).string();
    }

private:
    std::filesystem::path root_;
};

/// A child process; the destructor kills it if it still runs.
class child_process {
public:
    /// Standard output is appended to `output_file` unless that is empty. Throws
    /// std::runtime_error when the program cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& output_file = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send_signal(int number) const;
    /// Most memory that the process has used so far, in bytes; 0 when it is not known.
    [[nodiscard]] std::size_t peak_memory() const;
    /// Number of open descriptors; 0 when it is not known.
    [[nodiscard]] std::size_t open_descriptors() const;
    /// Whether the process has ended by itself or by a signal.
    [[nodiscard]] bool ended();
    /// Returns the exit code, or minus the number of the signal that ended the process.
    int wait();

private:
    int pid_{-1};
    std::optional<int> status_; ///< as waitpid() reports it, once the process has ended
};

/// Waits until the program has written its port. Throws std::runtime_error after 20 s.
std::uint16_t wait_for_port(const std::string& port_file);

} // namespace wagtailhitch::testing
