#include "core/log_text.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(log_text){};

TEST(log_text, plain_text_stays)
{
    STRCMP_EQUAL("servers/i-1&x+y#%", log_text("servers/i-1&x+y#%").c_str());
}

TEST(log_text, other_text_is_quoted_and_escaped)
{
    STRCMP_EQUAL("\"\"", log_text("").c_str());
    STRCMP_EQUAL("\"a b=c\"", log_text("a b=c").c_str());
    STRCMP_EQUAL("\"a\\x22\\x5c\\x0a\\x00\\xff\"",
                 log_text(std::string_view("a\"\\\n\0\xff", 6)).c_str());
    CHECK(log_text(std::string(1000, 'a')).size() < 300);
}

TEST(log_text, a_line_stays_one_line)
{
    STRCMP_EQUAL("key=a\\x0d\\x0aCW1001 x=\"y\"",
                 log_line_text("key=a\r\nCW1001 x=\"y\"").c_str());
}
