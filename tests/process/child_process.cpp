#include "child_process.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace wagtailhitch::testing {

scratch_directory::scratch_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "wagtailhitch-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"A scratch directory could not be created."};
    }
    root_ = pattern;
}

scratch_directory::~scratch_directory()
{
    std::error_code ignored;
    std::filesystem::remove_all(root_, ignored);
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output_file)
{
    const int output =
        output_file.empty() ? -1 : ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (!output_file.empty() && output < 0) {
        throw std::runtime_error{"The file " + output_file + " could not be opened."};
    }
    // Everything is allocated before the fork: the child only makes system calls.
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& it : words) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ < 0) {
        throw std::runtime_error{"The program " + program + " could not be started."};
    }
    if (pid_ == 0) {
        if (output >= 0) {
            ::dup2(output, STDOUT_FILENO);
        }
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    if (output >= 0) {
        ::close(output);
    }
}

child_process::~child_process()
{
    if (!ended()) {
        ::kill(pid_, SIGKILL);
        wait();
    }
}

void child_process::send_signal(int number) const
{
    if (!status_) {
        ::kill(pid_, number);
    }
}

std::size_t child_process::peak_memory() const
{
    std::ifstream status{"/proc/" + std::to_string(pid_) + "/status"};
    std::size_t kilobytes = 0;
    for (std::string field; status >> field;) {
        if (field == "VmHWM:") {
            status >> kilobytes;
            break;
        }
    }
    return kilobytes * 1024;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator all{"/proc/" + std::to_string(pid_) + "/fd", ec};
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

bool child_process::ended()
{
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = status;
    }
    return status_.has_value();
}

int child_process::wait()
{
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, 0) == pid_) {
        status_ = status;
    }
    const int end = status_.value_or(0);
    return WIFEXITED(end) ? WEXITSTATUS(end) : -WTERMSIG(end);
}

std::uint16_t wait_for_port(const std::string& port_file)
{
    using namespace std::chrono_literals;
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (std::chrono::steady_clock::now() < limit) {
        std::ifstream file{port_file};
        std::uint16_t port = 0;
        if (file >> port) {
            return port;
        }
        std::this_thread::sleep_for(5ms);
    }
    throw std::runtime_error{"No port appeared in " + port_file + " within 20 s."};
}

} // namespace wagtailhitch::testing
