#include "systems/store/store_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(store_view)
{
    store_view view;
    /** What the last call ignored. */
    std::vector<ignored_change> ignored;

    static store_change entry(const std::string& name, std::uint64_t revision,
                              std::uint64_t sequence = 1)
    {
        backend_server_entry e;
        e.name = name;
        e.id = id_of<backend_server_id>(name);
        e.sequence = sequence;
        return {"servers/" + name, store_revision(revision), e, {}};
    }
    static store_change removal(const std::string& name, std::uint64_t revision)
    {
        return {"servers/" + name,
                store_revision(revision),
                removed_item{id_of<backend_server_id>(name)},
                {}};
    }
    static store_change settings(std::uint64_t version, std::uint64_t revision)
    {
        auto read = std::make_shared<catalogue>();
        read->version = version;
        return {"settings",
                store_revision(revision),
                std::shared_ptr<const catalogue>(read),
                {}};
    }
    static store_change evacuation(const std::string& name,
                                   std::uint64_t revision)
    {
        return {"out/" + name,
                store_revision(revision),
                evacuated_data_centre{id_of<data_centre_id>(name)},
                {}};
    }
    std::vector<gateway_event> servers(std::vector<store_change> changes,
                                       bool whole = false, std::uint64_t at = 0)
    {
        view_update update = view.apply(store_area::backend_servers,
                                        {changes, whole, store_revision(at)});
        ignored = update.ignored;
        return update.events;
    }
    std::vector<gateway_event> operator_settings(
        std::vector<store_change> changes, bool whole = false,
        std::uint64_t at = 0)
    {
        view_update update = view.apply(store_area::operator_settings,
                                        {changes, whole, store_revision(at)});
        ignored = update.ignored;
        return update.events;
    }
};

// A server that registered and was removed between two watches must not remain.
TEST(store_view, an_entry_and_its_removal_in_one_page_end_in_removal)
{
    const auto events = servers({entry("a", 5), removal("a", 6)});
    CHECK_EQUAL(2, events.size());
    CHECK(std::holds_alternative<servers_reported>(events[0]));
    CHECK(std::get<server_unlisted>(events[1]).server ==
          id_of<backend_server_id>("a"));
}

TEST(store_view, an_entry_after_a_removal_restores_the_server)
{
    const auto events =
        servers({entry("a", 5), removal("a", 6), entry("a", 7, 2)});
    CHECK_EQUAL(3, events.size());
    CHECK_EQUAL(2U, std::get<servers_reported>(events[2]).entries[0].sequence);
}

TEST(store_view, a_complete_list_removes_unlisted_items)
{
    servers({entry("a", 5), entry("b", 6)}, true, 6);
    const auto events = servers({entry("b", 6)}, true, 9);
    CHECK_EQUAL(1, events.size());
    CHECK(std::get<server_unlisted>(events[0]).server ==
          id_of<backend_server_id>("a"));
}

// A reader's copy may be older than the items that this VM knows.
TEST(store_view, a_stale_list_removes_nothing_newer)
{
    servers({entry("a", 5), entry("b", 8)}, true, 9);
    CHECK(servers({entry("a", 5)}, true, 7).empty());
    CHECK_EQUAL(1, servers({entry("a", 5)}, true, 8).size());
}

TEST(store_view, an_older_revision_changes_nothing)
{
    servers({entry("a", 9, 4)});
    CHECK(servers({entry("a", 8, 3)}).empty());
    CHECK_EQUAL(1U, ignored.size());
    CHECK(ignored[0].why == ignored_reason::older_revision);
    CHECK(ignored[0].known == store_revision(9));
    CHECK(servers({removal("a", 9)}).empty());
}

TEST(store_view, an_unreadable_item_keeps_the_known_value)
{
    servers({entry("a", 5)});
    CHECK(
        servers({{"servers/a", store_revision(6), unreadable_item{"json"}, {}}})
            .empty());
    CHECK_EQUAL(1U, ignored.size());
    CHECK(ignored[0].why == ignored_reason::unreadable);
    STRCMP_EQUAL("json", ignored[0].details.c_str());
}

TEST(store_view, evacuations_are_complete_and_precede_settings)
{
    operator_settings({evacuation("x", 1)}, true);
    const auto events = operator_settings({settings(3, 2), evacuation("y", 3)});
    CHECK_EQUAL(2, events.size());
    CHECK_EQUAL(2, std::get<evacuations_read>(events[0]).data_centres.size());
    CHECK_EQUAL(3U, std::get<catalogue_read>(events[1]).read->version);
    const auto back =
        operator_settings({{"out/x", store_revision(4), removed_item{}, {}}});
    CHECK_EQUAL(1, std::get<evacuations_read>(back[0]).data_centres.size());
}
