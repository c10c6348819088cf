#include "tables/catalogue.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

struct path_row
{
    const char* host;
    const char* path;
    /** Name of the route; empty for none. */
    const char* name;
};

} // namespace

TEST_GROUP(catalogue)
{
    catalogue settings;

    void add(const std::string& name, const std::string& host,
             const std::string& prefix)
    {
        route r;
        r.name = name;
        r.host = host;
        r.prefix = prefix;
        r.target = forward_target{{{service_id(1), 1}}};
        settings.add_route(r);
    }
};

TEST(catalogue, the_longest_prefix_of_the_host_wins)
{
    add("root", "a.example", "/");
    add("orders", "a.example", "/orders/");
    add("open", "a.example", "/orders/open/");
    add("other", "b.example", "/orders/");
    const path_row table[] = {
        {"a.example", "/orders/open/7", "open"},
        {"a.example", "/orders/open", "orders"},
        {"a.example", "/orders/", "orders"},
        {"a.example", "/orders", "root"},
        {"a.example", "/ordersx/1", "root"},
        {"b.example", "/orders/1", "other"},
        {"b.example", "/", ""},
        {"c.example", "/orders/1", ""},
        {"a.example", "", ""},
        {"a.example", "no-slash", ""},
    };
    for (const path_row& row : table) {
        const auto found = settings.find_route(row.host, row.path);
        STRCMP_EQUAL(row.name, found ? found->name.c_str() : "");
    }
}

TEST(catalogue, keys_lead_to_their_workspace)
{
    workspace_entry entry;
    entry.id = workspace_id(4);
    entry.name = "desk";
    settings.add_workspace(entry, {"key-1", "key-2"});
    STRCMP_EQUAL("desk", settings.find_workspace("key-2")->name.c_str());
    CHECK(settings.find_workspace("key-3") == nullptr);
    CHECK(settings.find_workspace("") == nullptr);
}
