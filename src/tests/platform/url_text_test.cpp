#include "platform/url_text.hpp"

#include "platform/http_adapter.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(url_text){};

TEST(url_text, only_unreserved_bytes_stand_for_themselves)
{
    STRCMP_EQUAL("servers/i-1._~Z9", query_value("servers/i-1._~Z9").c_str());
    STRCMP_EQUAL("%26%2b%23%25%2541%20%3d%3f%3b%22",
                 query_value("&+#%%41 =?;\"").c_str());
    STRCMP_EQUAL(
        "%0d%0a%00%01%7f%c3%ff",
        query_value(std::string_view("\r\n\0\x01\x7f\xc3\xff", 7)).c_str());
}

// RECOVER: the store read `servers/a` where the last key was `servers/a&b`.
TEST(url_text, the_next_page_of_a_list_begins_after_the_key_that_was_read)
{
    const http_adapter adapter;
    STRCMP_EQUAL(
        "/kv-range?prefix=servers/&after=servers/a%26b%20c",
        adapter.list_target(store_area::backend_servers, "servers/a&b c", false)
            .c_str());
}

// A start of all VMs at once would cost the store ten times as much if the flag
// were missing.
TEST(url_text, a_serializable_list_says_so)
{
    const http_adapter adapter;
    STRCMP_EQUAL(
        "/kv-range?prefix=servers/&serializable=1",
        adapter.list_target(store_area::backend_servers, "", true).c_str());
    STRCMP_EQUAL(
        "/kv-range?prefix=servers/",
        adapter.list_target(store_area::backend_servers, "", false).c_str());
}
