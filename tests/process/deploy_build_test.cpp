#include "child_process.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// Tests of the build command in deploy/system.toml. They run it on a project of one file, whose
// program returns a number, with a folder target/ that an earlier build has left behind.

namespace wagtailhitch::testing {
namespace {

namespace fs = std::filesystem;

/// The command between the quotes of the line `build = "..."`.
std::string build_command()
{
    std::ifstream in{std::string{SOURCE_DIRECTORY} + "/deploy/system.toml"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("build")) {
            const auto first = line.find('"') + 1;
            return line.substr(first, line.rfind('"') - first);
        }
    }
    return {};
}

class deploy_build_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        fs::create_directory(folder_);
        std::ofstream{folder_ / "CMakeLists.txt"} << "cmake_minimum_required(VERSION 3.25)\n"
                                                     "project(wagtailhitch LANGUAGES CXX)\n"
                                                     "add_library(number STATIC number.cpp)\n"
                                                     "add_executable(wagtailhitch main.cpp)\n"
                                                     "target_link_libraries(wagtailhitch number)\n";
        std::ofstream{folder_ / "main.cpp"} << "int number();\nint main() { return number(); }\n";
        write_number(earlier);
        ASSERT_TRUE(build()) << build_log();
        ASSERT_EQ(returned(), earlier);
    }

    void write_number(int value) const
    {
        std::ofstream{folder_ / "number.cpp"} << "int number() { return " << value << "; }\n";
    }

    [[nodiscard]] bool build() const
    {
        const std::string command = "cd '" + folder_.string() + "' && (" + build_command() +
                                    ") > '" + files_.path("log") + "' 2>&1";
        return std::system(command.c_str()) == 0; // NOLINT(cert-env33-c): a shell runs the command
    }

    [[nodiscard]] std::string build_log() const
    {
        std::ifstream in{files_.path("log")};
        return {std::istreambuf_iterator<char>{in}, {}};
    }

    [[nodiscard]] int returned() const
    {
        return child_process{(folder_ / "target/wagtailhitch").string(), {}}.wait();
    }

    static constexpr int earlier = 3;
    static constexpr int current = 4;
    scratch_directory files_;
    fs::path folder_{files_.path("project")};
};

// Guards against running the program of earlier sources, whose objects are newer than the sources.
TEST_F(deploy_build_test, sources_older_than_the_objects_are_compiled)
{
    write_number(current);
    fs::last_write_time(folder_ / "number.cpp",
                        fs::file_time_type::clock::now() - std::chrono::hours{1});
    ASSERT_TRUE(build()) << build_log();
    EXPECT_EQ(returned(), current);
}

// Guards against a build that fails on the cache of another folder and leaves the earlier program.
TEST_F(deploy_build_test, target_of_another_folder_is_replaced)
{
    const fs::path moved = files_.path("moved");
    fs::rename(folder_, moved);
    folder_ = moved;
    write_number(current);
    ASSERT_TRUE(build()) << build_log();
    EXPECT_EQ(returned(), current);
}

// Guards against linking objects that were compiled for another kind of machine.
TEST_F(deploy_build_test, objects_that_cannot_be_linked_are_replaced)
{
    for (const auto& it : fs::recursive_directory_iterator{folder_ / "target"}) {
        const auto extension = it.path().extension();
        if (extension == ".o" || extension == ".a") {
            std::ofstream{it.path()} << "no object of this machine";
        }
    }
    write_number(current);
    ASSERT_TRUE(build()) << build_log();
    EXPECT_EQ(returned(), current);
}

TEST_F(deploy_build_test, files_of_other_programs_in_target_are_kept)
{
    const fs::path other = folder_ / "target/review-2/standin";
    fs::create_directories(other.parent_path());
    std::ofstream{other} << "program";
    ASSERT_TRUE(build()) << build_log();
    EXPECT_TRUE(fs::exists(other));
}

} // namespace
} // namespace wagtailhitch::testing
