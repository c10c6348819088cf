#include "settings/key_description.hpp"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <iterator>

using namespace cranberrywood;

TEST_GROUP(key_description){};

TEST(key_description, operators_page_has_the_reference)
{
    std::ifstream file("docs/OPERATING.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    CHECK_TRUE(page.find(settings_reference()) != std::string::npos);
}

TEST(key_description, numbers_have_ranges)
{
    for (const auto& key : all_keys()) {
        const bool number = key.type.find("number") != std::string::npos ||
                            key.type.find("time") != std::string::npos ||
                            key.type.find("size") != std::string::npos;
        CHECK_TRUE_TEXT(number == !key.range.empty(), key.name.c_str());
    }
}
