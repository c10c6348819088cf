#include "systems/settings/settings_spread.hpp"

#include "fakes/sample_value.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

published_value revision(std::uint64_t number)
{
    published_value value = fakes::sample_value();
    value.revision = revision_number(number);
    value.base += "; revision " + std::to_string(number) + "\n";
    return value;
}

published_value invalid_revision(std::uint64_t number)
{
    published_value value = revision(number);
    value.base += "[rule bad]\n";
    return value;
}

template <class Command>
std::size_t count_of(const commands& all)
{
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const command& c) {
            return std::holds_alternative<Command>(c);
        }));
}

} // namespace

/** The settings of one VM and the messages that it sends. */
struct spread_vm
{
    explicit spread_vm(std::string name)
        : random(7),
          spread({id_of<vm_id>(name),
                  incarnation(1),
                  id_of<data_centre_id>(name == "vm-1" ? "south" : "north"),
                  name == "vm-1" ? "south" : "north",
                  {}},
                 random),
          id(id_of<vm_id>(name))
    {
    }

    void read(published_value value, time_point now)
    {
        spread.receive(configuration_read{std::move(value)}, now, out);
    }
    std::uint64_t in_force(time_point now)
    {
        return spread.status(now).accepted.value();
    }
    /** Delivers this VM's messages to another VM; drops those to others. */
    std::size_t deliver(spread_vm& to, time_point now)
    {
        std::size_t delivered = 0;
        for (const auto& message : out.take_peer_messages()) {
            if (message.to != to.id) {
                continue;
            }
            ++delivered;
            if (const auto* pull = std::get_if<revision_pull>(&message.body)) {
                to.spread.receive(id, *pull, now, to.out);
            } else {
                const auto& push = std::get<revision_push>(message.body);
                to.spread.receive(id, push, now, to.out);
            }
        }
        return delivered;
    }
    bool logged(log_code code)
    {
        for (const auto& c : out.take_commands()) {
            const auto* event = std::get_if<log_event>(&c);
            if (event != nullptr &&
                event->code == static_cast<std::uint32_t>(code)) {
                return true;
            }
        }
        return false;
    }

    seeded_random random;
    settings_spread spread;
    vm_id id;
    outbox out;
};

TEST_GROUP(settings_spread)
{
    time_point now{seconds(100)};
    spread_vm a{"vm-0"};
    spread_vm b{"vm-1"};

    void exchange_messages()
    {
        for (int i = 0; i < 6; ++i) {
            a.spread.tick(now, a.out);
            b.spread.tick(now, b.out);
            a.deliver(b, now);
            b.deliver(a, now);
        }
    }
};

TEST(settings_spread, accepts_a_revision_once)
{
    a.read(revision(5), now);
    const auto taken = a.spread.take_accepted();
    CHECK_TRUE(taken.has_value());
    CHECK_EQUAL(5, (*taken)->all().revision.value());
    a.read(revision(5), now);
    CHECK_FALSE(a.spread.take_accepted().has_value());
}

TEST(settings_spread, never_returns_to_an_older_revision)
{
    a.read(revision(5), now);
    a.read(revision(4), now);
    CHECK_EQUAL(5, a.in_force(now));
    CHECK_TRUE(a.logged(log_code::configuration_stale));
}

TEST(settings_spread, ignores_a_revision_older_than_one_that_a_peer_announced)
{
    a.read(revision(5), now);
    a.spread.receive_revision(b.id, revision_number(7), now, a.out);
    a.read(revision(6), now);
    CHECK_EQUAL(5, a.in_force(now));
    CHECK_TRUE(a.spread.status(now).behind);
    a.read(revision(7), now);
    CHECK_EQUAL(7, a.in_force(now));
    CHECK_FALSE(a.spread.status(now).behind);
}

TEST(settings_spread, refused_revision_leaves_the_last_one_in_force)
{
    a.read(revision(5), now);
    a.read(invalid_revision(6), now);
    const auto status = a.spread.status(now);
    CHECK_EQUAL(5, status.accepted.value());
    CHECK_EQUAL(6, status.refused.value());
    STRCMP_CONTAINS("rule bad.effect: required", status.refused_error.c_str());
    CHECK_TRUE(a.logged(log_code::revision_refused));
    a.read(revision(7), now);
    CHECK_EQUAL(7, a.in_force(now));
}

// A VM may read an invalid revision without having read the valid one before
// it, which a peer accepted.
TEST(settings_spread, refused_revision_does_not_block_an_older_accepted_one)
{
    a.read(revision(5), now);
    b.read(revision(6), now);
    a.read(invalid_revision(7), now);
    a.spread.receive_revision(b.id, revision_number(6), now, a.out);
    exchange_messages();
    CHECK_EQUAL(6, a.in_force(now));
}

TEST(settings_spread, pulls_a_delta_from_a_peer)
{
    a.read(revision(5), now);
    b.read(revision(5), now);
    exchange_messages();
    b.read(revision(6), now);
    b.read(revision(7), now);
    b.out.take_peer_messages();
    const auto before = b.spread.status(now).push_bytes_sent;
    a.spread.receive_revision(b.id, revision_number(7), now, a.out);
    exchange_messages();
    CHECK_EQUAL(7, a.in_force(now));
    CHECK_TRUE(b.spread.status(now).push_bytes_sent - before < 200);
}

TEST(settings_spread, pushes_an_accepted_revision_to_peers_at_once)
{
    a.read(revision(5), now);
    b.read(revision(5), now);
    exchange_messages();
    a.read(revision(6), now);
    CHECK_EQUAL(1, a.deliver(b, now));
    CHECK_EQUAL(6, b.in_force(now));
}

TEST(settings_spread, starts_with_the_peers_revision_when_the_service_is_stale)
{
    b.read(revision(7), now);
    a.read(revision(5), now);
    a.spread.tick(now, a.out);
    CHECK_FALSE(a.spread.status(now).started);
    exchange_messages();
    CHECK_EQUAL(7, a.in_force(now));
}

TEST(settings_spread, counts_as_started_without_peers_after_the_startup_timeout)
{
    a.read(revision(5), now);
    a.spread.tick(now + seconds(1), a.out);
    CHECK_FALSE(a.spread.status(now).started);
    a.spread.tick(now + seconds(2), a.out);
    CHECK_TRUE(a.spread.status(now).started);
}

TEST(settings_spread, is_not_started_while_a_peer_has_a_newer_revision)
{
    a.read(revision(5), now);
    a.spread.receive_revision(b.id, revision_number(7), now, a.out);
    a.spread.tick(now + seconds(10), a.out);
    CHECK_FALSE(a.spread.status(now).started);
}

TEST(settings_spread, starts_from_peers_while_the_service_is_down)
{
    b.read(revision(7), now);
    a.spread.receive(configuration_unavailable{"refused"}, now, a.out);
    a.spread.receive_revision(b.id, revision_number(7), now, a.out);
    exchange_messages();
    CHECK_EQUAL(7, a.in_force(now));
}

TEST(settings_spread, corrupt_push_is_ignored_and_the_revision_is_pulled)
{
    a.read(revision(5), now);
    b.read(revision(6), now);
    const revision_push corrupt{revision_number(6), revision_number(5), 1,
                                "=0 1\n"};
    a.spread.receive(b.id, corrupt, now, a.out);
    CHECK_EQUAL(5, a.in_force(now));
    CHECK_TRUE(a.logged(log_code::revision_push_corrupt));
    exchange_messages();
    CHECK_EQUAL(6, a.in_force(now));
}

TEST(settings_spread, has_at_most_one_read_in_flight)
{
    a.spread.tick(now, a.out);
    a.spread.tick(now + seconds(5), a.out);
    CHECK_EQUAL(1, count_of<read_configuration>(a.out.take_commands()));
}

TEST(settings_spread, backs_off_while_the_service_fails)
{
    std::size_t reads = 0;
    for (int i = 0; i < 6000; ++i) {
        now += milliseconds(10);
        a.spread.tick(now, a.out);
        const auto issued = count_of<read_configuration>(a.out.take_commands());
        reads += issued;
        if (issued != 0) {
            a.spread.receive(configuration_unavailable{"down"}, now, a.out);
        }
    }
    CHECK_TRUE(reads >= 8 && reads <= 20);
}

TEST(settings_spread, limits_the_read_rate_while_the_revision_is_unchanged)
{
    std::size_t reads = 0;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        a.spread.tick(now, a.out);
        const auto issued = count_of<read_configuration>(a.out.take_commands());
        reads += issued;
        if (issued != 0) {
            a.read(revision(5), now);
        }
    }
    CHECK_TRUE(reads >= 20 && reads <= 42);
}

TEST(settings_spread, only_chosen_vms_read_while_in_contact_with_peers)
{
    published_value value = revision(5);
    value.base.replace(value.base.find("[data_centre"), 0,
                       "readers_per_data_centre = 1\n");
    spread_vm c{"vm-2"};
    a.read(value, now);
    c.read(value, now);
    a.spread.receive_revision(c.id, revision_number(5), now, a.out);
    c.spread.receive_revision(a.id, revision_number(5), now, c.out);
    const bool a_reads = a.spread.status(now).reads_service;
    CHECK_TRUE(a_reads != c.spread.status(now).reads_service);
    auto& other = a_reads ? c : a;
    const auto reader = a_reads ? a.id : c.id;
    other.spread.receive(
        vm_list_read{list_version(1), {{reader, true}, {other.id, false}}});
    CHECK_TRUE(other.spread.status(now).reads_service);
}

TEST(settings_spread, a_vm_without_contact_to_peers_reads_the_service)
{
    a.read(revision(5), now);
    a.spread.receive_revision(b.id, revision_number(5), now, a.out);
    a.spread.receive(vm_list_read{list_version(1), {{b.id, false}}});
    CHECK_FALSE(a.spread.status(now).reads_service);
    CHECK_TRUE(a.spread.status(now + seconds(7)).reads_service);
}

TEST(settings_spread, keeps_its_settings_when_its_site_is_removed)
{
    a.read(revision(5), now);
    a.spread.take_accepted();
    published_value value = revision(6);
    for (auto at = value.base.find("site = north"); at != std::string::npos;
         at = value.base.find("site = north")) {
        value.base.replace(at, 12, "site = moved");
    }
    value.overlays.erase(value.overlays.begin());
    a.read(value, now);
    CHECK_TRUE(a.spread.status(now).site_removed);
    CHECK_FALSE(a.spread.take_accepted().has_value());
}
