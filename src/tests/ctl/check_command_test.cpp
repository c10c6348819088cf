#include "cranberrywoodctl/check_command.hpp"

#include <CppUTest/TestHarness.h>

#include <filesystem>

using namespace cranberrywood::ctl;

namespace {

words example(const std::string& name)
{
    const std::string folder = "examples/" + name;
    words arguments{"check", folder + "/base.ini"};
    for (const auto& file :
         std::filesystem::directory_iterator(folder + "/overlays")) {
        arguments.push_back(file.path().string());
    }
    return arguments;
}

} // namespace

TEST_GROUP(check_command){};

TEST(check_command, accepts_the_examples)
{
    CHECK_EQUAL(exit_ok, check_command(example("lone-oak")));
    CHECK_EQUAL(exit_ok, check_command(example("jhuwei")));
}

TEST(check_command, refuses_an_overlay_of_another_fleet)
{
    auto arguments = example("lone-oak");
    arguments.push_back(example("jhuwei").back());
    CHECK_EQUAL(exit_no, check_command(arguments));
}

TEST(check_command, tells_wrong_usage_from_wrong_files)
{
    CHECK_EQUAL(exit_usage, check_command({"check"}));
    CHECK_EQUAL(exit_usage, check_command({"check", "--wrong", "a"}));
    CHECK_EQUAL(exit_usage, check_command({"check", "--site", "a", "b"}));
    CHECK_EQUAL(exit_no, check_command({"check", "examples/none.ini"}));
    CHECK_EQUAL(exit_no, check_command({"check", "examples"}));
}
