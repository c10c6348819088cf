#include "systems/store/store_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(store_view)
{
    store_view view;
    /** What the last call ignored. */
    std::vector<ignored_change> ignored;

    static store_position at(std::uint64_t revision, std::uint64_t era = 1)
    {
        return {store_era(era), store_revision(revision)};
    }
    static store_change entry(const std::string& name, store_position position,
                              std::uint64_t sequence = 1)
    {
        backend_server_entry e;
        e.name = name;
        e.id = id_of<backend_server_id>(name);
        e.sequence = sequence;
        return {"servers/" + name, position, e, {}};
    }
    static store_change removal(const std::string& name,
                                store_position position)
    {
        return {"servers/" + name,
                position,
                removed_item{id_of<backend_server_id>(name)},
                {}};
    }
    static store_change settings(std::uint64_t version, store_position position)
    {
        auto read = std::make_shared<catalogue>();
        read->version = version;
        return {
            "settings", position, std::shared_ptr<const catalogue>(read), {}};
    }
    static store_change evacuation(const std::string& name,
                                   store_position position)
    {
        return {"out/" + name,
                position,
                evacuated_data_centre{id_of<data_centre_id>(name)},
                {}};
    }
    std::vector<gateway_event> servers(std::vector<store_change> changes,
                                       bool whole = false,
                                       store_position page_at = {})
    {
        view_update update =
            view.apply(store_area::backend_servers, {changes, whole, page_at});
        ignored = update.ignored;
        return update.events;
    }
    std::vector<gateway_event> operator_settings(
        std::vector<store_change> changes, bool whole = false,
        store_position page_at = {})
    {
        view_update update = view.apply(store_area::operator_settings,
                                        {changes, whole, page_at});
        ignored = update.ignored;
        return update.events;
    }
};

// A server that registered and was removed between two watches must not remain.
TEST(store_view, an_entry_and_its_removal_in_one_page_end_in_removal)
{
    const auto events = servers({entry("a", at(5)), removal("a", at(6))});
    CHECK_EQUAL(2, events.size());
    CHECK(std::holds_alternative<servers_reported>(events[0]));
    CHECK(std::get<server_unlisted>(events[1]).server ==
          id_of<backend_server_id>("a"));
}

TEST(store_view, an_entry_after_a_removal_restores_the_server)
{
    const auto events =
        servers({entry("a", at(5)), removal("a", at(6)), entry("a", at(7), 2)});
    CHECK_EQUAL(3, events.size());
    CHECK_EQUAL(2U, std::get<servers_reported>(events[2]).entries[0].sequence);
}

TEST(store_view, a_complete_list_removes_unlisted_items)
{
    servers({entry("a", at(5)), entry("b", at(6))}, true, at(6));
    const auto events = servers({entry("b", at(6))}, true, at(9));
    CHECK_EQUAL(1, events.size());
    CHECK(std::get<server_unlisted>(events[0]).server ==
          id_of<backend_server_id>("a"));
}

// A reader's copy may be older than the items that this VM knows.
TEST(store_view, a_stale_list_removes_nothing_newer)
{
    servers({entry("a", at(5)), entry("b", at(8))}, true, at(9));
    CHECK(servers({entry("a", at(5))}, true, at(7)).empty());
    CHECK_EQUAL(1, servers({entry("a", at(5))}, true, at(8)).size());
}

TEST(store_view, an_older_revision_changes_nothing)
{
    servers({entry("a", at(9), 4)});
    CHECK(servers({entry("a", at(8), 3)}).empty());
    CHECK_EQUAL(1U, ignored.size());
    CHECK(ignored[0].why == ignored_reason::older_revision);
    CHECK(ignored[0].known == at(9));
    CHECK(servers({removal("a", at(9))}).empty());
}

TEST(store_view, an_unreadable_item_keeps_the_known_value)
{
    servers({entry("a", at(5))});
    CHECK(servers({{"servers/a", at(6), unreadable_item{"json"}, {}}}).empty());
    CHECK_EQUAL(1U, ignored.size());
    CHECK(ignored[0].why == ignored_reason::unreadable);
    STRCMP_EQUAL("json", ignored[0].details.c_str());
}

TEST(store_view, evacuations_are_complete_and_precede_settings)
{
    operator_settings({evacuation("x", at(1))}, true);
    const auto events =
        operator_settings({settings(3, at(2)), evacuation("y", at(3))});
    CHECK_EQUAL(2, events.size());
    CHECK_EQUAL(2, std::get<evacuations_read>(events[0]).data_centres.size());
    CHECK_EQUAL(3U, std::get<catalogue_read>(events[1]).read->version);
    const auto back = operator_settings({{"out/x", at(4), removed_item{}, {}}});
    CHECK_EQUAL(1, std::get<evacuations_read>(back[0]).data_centres.size());
}

// A VM that lags behind may still pass on what the store has forgotten.
TEST(store_view, items_of_an_earlier_era_are_not_added)
{
    servers({entry("a", at(5))}, true, at(6));
    servers({entry("a", at(4, 2))}, true, at(4, 2));
    CHECK(servers({entry("b", at(9))}).empty());
    CHECK(ignored[0].why == ignored_reason::older_era);
    CHECK(servers({entry("a", at(5))}, true, at(9)).empty());
}

TEST(store_view, the_first_list_is_no_restore_and_a_later_era_is_one)
{
    const auto read = [&](std::vector<store_change> items, store_position p) {
        return view.apply(store_area::backend_servers, {items, true, p});
    };
    CHECK(
        !read({entry("a", at(5, 3)), entry("b", at(6, 3))}, at(9, 3)).restored);
    CHECK(
        !read({entry("a", at(5, 3)), entry("b", at(6, 3))}, at(9, 3)).restored);
    const view_update update = read({entry("a", at(5, 4))}, at(5, 4));
    CHECK(update.restored->before == at(9, 3));
    CHECK(update.restored->after == at(5, 4));
    CHECK_EQUAL(1U, update.restored->missing);
    CHECK(std::holds_alternative<store_restored>(update.events.front()));
    CHECK(std::holds_alternative<server_unlisted>(update.events[1]));
}

TEST(store_view, an_older_configuration_of_a_later_era_is_ignored)
{
    operator_settings({settings(10, at(56))}, true, at(56));
    const auto events =
        operator_settings({settings(5, at(20, 2))}, true, at(54, 2));
    CHECK_EQUAL(1U, events.size());
    CHECK(std::holds_alternative<store_restored>(events[0]));
    CHECK(ignored[0].why == ignored_reason::older_configuration);
    const auto next = operator_settings({settings(12, at(56, 2))});
    CHECK_EQUAL(12U, std::get<catalogue_read>(next[0]).read->version);
}

// A replica of the store may lag: its list names servers that are gone.
TEST(store_view, a_serializable_list_that_is_older_never_replaces_a_later_one)
{
    servers({entry("a", at(100), 2)}, true, at(110));
    const auto update = view.apply_serializable(
        store_area::backend_servers,
        {{entry("a", at(80)), entry("gone", at(70))}, true, at(90)});
    CHECK(update.events.empty());
    CHECK_EQUAL(1, update.ignored.size());
    const auto same = view.apply_serializable(
        store_area::backend_servers, {{entry("a", at(100), 2)}, true, at(110)});
    CHECK(same.events.empty());
    CHECK(same.ignored.empty());
}

TEST(store_view, a_serializable_list_of_an_earlier_era_is_ignored)
{
    servers({entry("a", at(10, 2))}, true, at(20, 2));
    const auto update = view.apply_serializable(
        store_area::backend_servers, {{entry("b", at(70))}, true, at(90)});
    CHECK(update.events.empty());
    CHECK_EQUAL(1, update.ignored.size());
}

TEST(store_view, a_later_list_replaces_a_serializable_one)
{
    const auto first = view.apply_serializable(
        store_area::backend_servers,
        {{entry("a", at(80)), entry("gone", at(70))}, true, at(90)});
    CHECK_EQUAL(1, first.events.size());
    const auto events =
        servers({entry("a", at(80)), entry("new", at(95))}, true, at(100));
    CHECK_EQUAL(2, events.size());
    CHECK(std::get<server_unlisted>(events[0]).server ==
          id_of<backend_server_id>("gone"));
    CHECK_EQUAL(1, std::get<servers_reported>(events[1]).entries.size());
}

// The copy of a reader may be older than the list that this VM made. It must
// not bring back a server that was removed in between.
TEST(store_view, an_older_copy_of_a_reader_restores_no_removed_server)
{
    view.apply_serializable(store_area::backend_servers,
                            {{entry("a", at(80))}, true, at(100)});
    const auto events =
        servers({entry("a", at(80)), entry("gone", at(70))}, true, at(90));
    CHECK(events.empty());
    CHECK_EQUAL(1, ignored.size());
    CHECK(ignored[0].why == ignored_reason::older_revision);
}
