#include "core/gateway.hpp"
#include "fakes/restorable_store.hpp"
#include "systems/store/store_follower.hpp"
#include "systems/store/store_mirror.hpp"
#include "systems/store/store_view.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

const std::array<store_area, 2> areas = {store_area::operator_settings,
                                         store_area::backend_servers};

/** What a VM has learned of the store, as far as a gateway would use it. */
struct known_state
{
    std::uint64_t version = 0;
    std::set<std::string> servers;
};

/** A VM that reads the store itself, or follows one that does. */
class store_user
{
public:
    explicit store_user(random_source& random)
        : m_followers{store_follower(1ms, random), store_follower(1ms, random)},
          m_mirror(incarnation(random.next() | 1U))
    {
    }

    void read(const restorable_store& store, time_point now)
    {
        for (std::size_t i = 0; i < areas.size(); ++i) {
            store_follower& follower = m_followers[i];
            const store_call call = follower.next_call(now);
            if (std::holds_alternative<pause_reading>(call)) {
                continue;
            }
            const auto answer = store.answer(areas[i], call);
            if (const auto* fault = std::get_if<store_fault>(&answer)) {
                follower.failed(*fault, now);
                continue;
            }
            const auto page = std::get<followed_page>(
                follower.handle_page(std::get<store_page>(answer), now));
            m_mirror.apply(areas[i], page);
            apply(areas[i], page);
        }
    }

    void follow(const store_user& reader, const restorable_store& store)
    {
        mirror_update update = reader.m_mirror.after(m_process, m_place);
        update.at = std::min(reader.m_followers[0].position(),
                             reader.m_followers[1].position());
        m_process = update.process;
        m_place = update.place;
        for (const store_area area : areas) {
            followed_page page;
            page.whole = update.whole;
            page.at = update.at;
            for (const mirrored_item& item : update.items) {
                const bool settings =
                    item.key.compare(0, 3, operator_key("")) == 0;
                if (settings == (area == store_area::operator_settings)) {
                    page.changes.push_back(change_of(item, store));
                }
            }
            apply(area, page);
        }
    }

    const known_state& known() const
    {
        return m_known;
    }
    std::size_t restores() const
    {
        return m_restores;
    }

private:
    static store_change change_of(const mirrored_item& item,
                                  const restorable_store& store)
    {
        store_value value = removed_item{id_of<backend_server_id>(item.key)};
        if (!item.removed) {
            value = store.value_of(item.bytes);
        }
        return {item.key, item.position, value, item.bytes};
    }

    void apply(store_area area, const followed_page& page)
    {
        const view_update update = m_view.apply(area, page);
        m_restores += update.restored ? 1 : 0;
        for (const gateway_event& event : update.events) {
            learn(event);
        }
    }

    void learn(const gateway_event& event)
    {
        if (const auto* read = std::get_if<catalogue_read>(&event)) {
            m_known.version = read->read->version;
        } else if (const auto* report = std::get_if<servers_reported>(&event)) {
            for (const backend_server_entry& entry : report->entries) {
                m_known.servers.insert(entry.name);
                m_names[entry.id] = entry.name;
            }
        } else if (const auto* gone = std::get_if<server_unlisted>(&event)) {
            m_known.servers.erase(m_names[gone->server]);
        }
    }

    std::array<store_follower, 2> m_followers;
    store_mirror m_mirror;
    store_view m_view;
    std::map<backend_server_id, std::string> m_names;
    known_state m_known;
    std::size_t m_restores = 0;
    incarnation m_process;
    std::uint64_t m_place = 0;
};

store_value configuration(std::uint64_t version)
{
    auto read = std::make_shared<catalogue>();
    read->version = version;
    return std::shared_ptr<const catalogue>(read);
}

backend_server_entry entry_of(const std::string& name, std::uint64_t sequence)
{
    backend_server_entry entry;
    entry.name = name;
    entry.id = id_of<backend_server_id>(name);
    entry.sequence = sequence;
    return entry;
}

} // namespace

TEST_GROUP(restored_store)
{
    seeded_random random{31};
    restorable_store store;
    time_point now{1h};
    store_user reader{random};
    store_user other{random};
    store_user follower{random};

    void setup() override
    {
        store.put(operator_key("config"), configuration(3));
        for (int i = 0; i < 5; ++i) {
            const std::string name = "s" + std::to_string(i);
            store.put(name, entry_of(name, 1));
        }
        settle();
    }
    /** Lets everybody read until nothing is new. */
    void settle()
    {
        for (int i = 0; i < 8; ++i) {
            now += 2s;
            reader.read(store, now);
            other.read(store, now);
            follower.follow(reader, store);
        }
    }
    void check_all(std::uint64_t version, std::size_t servers)
    {
        for (const store_user* user : {&reader, &other, &follower}) {
            CHECK_EQUAL(version, user->known().version);
            CHECK_EQUAL(servers, user->known().servers.size());
        }
    }
};

// The lost versions are written again at lower revisions than before, so that
// the next one gets the revision at which the last one was known.
TEST(restored_store, a_configuration_at_a_revision_given_out_twice_is_in_force)
{
    const store_revision copy = store.at().revision;
    for (const std::uint64_t version : {5, 7, 10}) {
        store.put(operator_key("config"), configuration(version));
        settle();
    }
    store.restore(copy);
    settle();
    check_all(10, 5);
    store.put(operator_key("config"), configuration(10));
    settle();
    store.put(operator_key("config"), configuration(12));
    settle();
    CHECK(store.at().revision < store_revision(copy.value() + 3));
    check_all(12, 5);
    CHECK_EQUAL(2, follower.restores());
}

TEST(restored_store, an_older_copy_takes_nothing_back)
{
    const store_revision copy = store.at().revision;
    store.put(operator_key("config"), configuration(5));
    settle();
    store.restore(copy);
    settle();
    check_all(5, 5);
}

// The counter has passed the known revision when the VM watches again, so no
// answer says that its history is lost.
TEST(restored_store, writes_that_a_watch_would_skip_are_read)
{
    const store_revision copy = store.at().revision;
    store.put(operator_key("config"), configuration(5));
    settle();
    store.restore(copy);
    store.put(operator_key("config"), configuration(6));
    store.put("s9", entry_of("s9", 1));
    store.put("s9", entry_of("s9", 2));
    settle();
    check_all(6, 6);
}

TEST(restored_store, a_second_restore_from_before_the_first_is_followed)
{
    const store_revision first = store.at().revision;
    store.put(operator_key("config"), configuration(5));
    store.put("s5", entry_of("s5", 1));
    const store_revision second = store.at().revision;
    store.put(operator_key("config"), configuration(6));
    settle();
    store.restore(second);
    settle();
    store.restore(first);
    settle();
    check_all(6, 5);
    store.put(operator_key("config"), configuration(7));
    store.put("s5", entry_of("s5", 1));
    settle();
    check_all(7, 6);
}

// A reader that still hears the old history must not undo what a VM knows.
TEST(restored_store, a_reader_that_lags_an_era_behind_takes_nothing_back)
{
    const store_revision copy = store.at().revision;
    store.put(operator_key("config"), configuration(5));
    store.put("s5", entry_of("s5", 1));
    settle();
    store.restore(copy);
    store.put(operator_key("config"), configuration(6));
    for (int i = 0; i < 4; ++i) {
        now += 2s;
        reader.read(store, now);
        follower.follow(reader, store);
    }
    CHECK_EQUAL(6U, follower.known().version);
    CHECK_EQUAL(5U, follower.known().servers.size());
    follower.follow(other, store);
    CHECK_EQUAL(6U, follower.known().version);
    CHECK_EQUAL(5U, follower.known().servers.size());
}

// A VM that starts learns from its reader what the reader has in force, not
// what the older copy says.
TEST(restored_store, a_vm_that_follows_anew_gets_the_newest_configuration)
{
    const store_revision copy = store.at().revision;
    store.put(operator_key("config"), configuration(5));
    settle();
    store.restore(copy);
    settle();
    store_user started{random};
    started.follow(reader, store);
    CHECK_EQUAL(5U, started.known().version);
    CHECK_EQUAL(5U, started.known().servers.size());
}

// Random writes, restores and lags of single VMs: whenever all have read, all
// hold the greatest version ever written and the servers that are listed.
TEST(restored_store, random_histories_end_in_the_newest_state)
{
    constexpr std::uint64_t runs = 300;
    for (std::uint64_t run = 0; run < runs; ++run) {
        seeded_random draw{run + 1};
        restorable_store drawn;
        store_user first{draw};
        store_user second{draw};
        store_user third{draw};
        std::uint64_t version = 1;
        std::uint64_t sequence = 1;
        drawn.put(operator_key("config"), configuration(version));
        for (int step = 0; step < 60; ++step) {
            now += 500ms;
            const std::string name = "s" + std::to_string(draw.below(4));
            switch (draw.below(8)) {
            case 0:
                drawn.put(operator_key("config"), configuration(++version));
                break;
            case 1:
                drawn.put(name, entry_of(name, ++sequence));
                break;
            case 2:
                drawn.remove(name);
                break;
            case 3:
                drawn.restore(store_revision(
                    1 + draw.below(drawn.at().revision.value())));
                break;
            case 4:
                first.read(drawn, now);
                break;
            case 5:
                second.read(drawn, now);
                break;
            case 6:
                third.follow(first, drawn);
                break;
            default:
                third.follow(second, drawn);
                break;
            }
        }
        drawn.put(operator_key("config"), configuration(++version));
        std::set<std::string> listed;
        for (int i = 0; i < 4; ++i) {
            const std::string name = "s" + std::to_string(i);
            drawn.put(name, entry_of(name, ++sequence));
            listed.insert(name);
        }
        for (int i = 0; i < 8; ++i) {
            now += 2s;
            first.read(drawn, now);
            second.read(drawn, now);
            third.follow(i % 2 == 0 ? first : second, drawn);
        }
        for (const store_user* user : {&first, &second, &third}) {
            CHECK_EQUAL_TEXT(version, user->known().version,
                             ("run " + std::to_string(run)).c_str());
            CHECK(user->known().servers == listed);
        }
    }
}
