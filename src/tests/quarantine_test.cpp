#include "systems/queries/quarantine.hpp"

#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(quarantine)
{
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    fakes::manual_role_view roles{settings};
    quarantine table{id_of<vm_id>("vm-0"), roles};
    outbox out;
    time_point t0 = time_point(seconds(100));
    fingerprint poison{1};
    fingerprint innocent{2};
    vm_id entry = id_of<vm_id>("vm-1");
    vm_id owner = id_of<vm_id>("vm-2");

    void setup() override
    {
        roles.believe_all(owner);
        table.settings_changed(settings);
    }

    void crash(const char* server, std::vector<fingerprint> prints,
               time_point now)
    {
        std::vector<request_at_crash> requests;
        for (const auto print : prints) {
            requests.push_back({print, entry});
        }
        table.record_server_crash(id_of<backend_server_id>(server), requests,
                                  now, out);
    }

    bool refused(fingerprint print, time_point now)
    {
        return table.check(print, now) == quarantine_status::refused;
    }

    bool limited(fingerprint print, time_point now)
    {
        return table.check(print, now) == quarantine_status::retry_limited;
    }
};

TEST(quarantine, second_crash_on_a_shard_refuses)
{
    crash("s0-r0", {poison}, t0);
    CHECK(limited(poison, t0));
    crash("s0-r1", {poison}, t0 + milliseconds(5));
    CHECK(refused(poison, t0 + milliseconds(5)));
    CHECK_FALSE(refused(poison, t0 + seconds(301)));
}

TEST(quarantine, one_shared_crash_refuses_no_request)
{
    crash("s0-r0", {poison, innocent, innocent}, t0);
    CHECK(limited(poison, t0));
    CHECK(limited(innocent, t0));
}

TEST(quarantine, concurrent_crashes_on_many_shards_are_one_strike)
{
    for (const char* server : {"s0-r0", "s1-r0", "s2-r0"}) {
        crash(server, {poison, innocent}, t0);
    }
    CHECK(limited(innocent, t0));
    crash("s1-r1", {poison}, t0 + milliseconds(20));
    CHECK(refused(poison, t0 + milliseconds(20)));
    CHECK(limited(innocent, t0 + milliseconds(20)));
}

TEST(quarantine, suspect_is_cleared_by_completion_on_the_crashed_shard)
{
    crash("s0-r0", {poison, innocent}, t0);
    table.record_completion(innocent, shard_id_of("search", "s1"));
    CHECK(limited(innocent, t0));
    table.record_completion(innocent, shard_id_of("search", "s0"));
    CHECK(table.check(innocent, t0) == quarantine_status::free);
}

TEST(quarantine, suspects_do_not_share_a_server)
{
    crash("s0-r0", {poison, innocent}, t0);
    CHECK_FALSE(table.may_share(innocent, {poison}, t0));
    CHECK(table.may_share(innocent, {fingerprint(3)}, t0));
    CHECK(table.may_share(fingerprint(3), {poison}, t0));
}

TEST(quarantine, first_strike_goes_to_the_owners_of_the_shard_and_the_entry)
{
    crash("s0-r0", {poison}, t0);
    std::set<vm_id> notified;
    for (const auto& message : out.take_peer_messages()) {
        notified.insert(message.to);
    }
    CHECK(notified == std::set<vm_id>({owner, entry}));
}

// The link that was to carry the only notice was cut, and the owner of another
// replica of the shard took the next crash for the first.
TEST(quarantine, a_notice_is_repeated_until_the_strike_expires)
{
    crash("s0-r0", {poison}, t0);
    out.take_peer_messages();
    table.tick(t0 + seconds(1), out);
    CHECK(out.take_peer_messages().empty());
    for (const seconds later : {seconds(2), seconds(100), seconds(299)}) {
        table.tick(t0 + later, out);
        std::set<vm_id> notified;
        for (const auto& message : out.take_peer_messages()) {
            const auto& notice = std::get<quarantine_notice>(message.body);
            notified.insert(message.to);
            CHECK_EQUAL(1U, notice.strikes);
            CHECK(notice.valid_for == seconds(300) - later);
            CHECK(notice.shard == shard_id_of("search", "s0"));
        }
        CHECK(notified == std::set<vm_id>({owner, entry}));
    }
    table.tick(t0 + seconds(301), out);
    CHECK(out.take_peer_messages().empty());
}

TEST(quarantine, repeats_of_a_notice_change_nothing)
{
    const shard_id shard = shard_id_of("search", "s0");
    const quarantine_notice first{poison, 1, seconds(300), shard};
    const quarantine_notice again{poison, 1, seconds(298), shard};
    table.receive(owner, first, t0, out);
    table.record_completion(poison, shard);
    table.receive(owner, again, t0 + seconds(2), out);
    crash("s0-r1", {poison}, t0 + milliseconds(2100));
    CHECK(refused(poison, t0 + milliseconds(2100)));
    table.receive(owner, {innocent, 1, seconds(300), shard}, t0, out);
    table.record_completion(innocent, shard);
    table.receive(owner, {innocent, 1, seconds(299), shard},
                  t0 + milliseconds(990), out);
    crash("s0-r1", {innocent}, t0 + milliseconds(995));
    CHECK(limited(innocent, t0 + milliseconds(995)));
}

TEST(quarantine, a_cleared_suspect_is_not_reported_again)
{
    crash("s0-r0", {innocent}, t0);
    table.record_full_completion(innocent, out);
    out.take_peer_messages();
    table.tick(t0 + seconds(2), out);
    CHECK(out.take_peer_messages().empty());
}

TEST(quarantine, repeats_are_spread_over_ticks)
{
    for (std::uint64_t print = 10; print < 60; ++print) {
        crash("s0-r0", {fingerprint(print)}, t0);
    }
    out.take_peer_messages();
    std::size_t sent = 0;
    for (int i = 0; i < 4; ++i) {
        table.tick(t0 + seconds(2), out);
        const std::size_t now_sent = out.take_peer_messages().size();
        CHECK(now_sent <= 34);
        sent += now_sent;
    }
    CHECK_EQUAL(100U, sent);
}

TEST(quarantine, refusal_goes_to_every_vm_a_few_at_a_time)
{
    fakes::sample_shape shape;
    shape.vms = 100;
    table.settings_changed(fakes::sample_index(shape));
    crash("s0-r0", {poison}, t0);
    crash("s0-r1", {poison}, t0);
    out.take_peer_messages();
    std::set<vm_id> notified;
    for (int i = 0; i < 4; ++i) {
        table.tick(t0, out);
        const auto messages = out.take_peer_messages();
        CHECK(messages.size() <= 32);
        for (const auto& message : messages) {
            notified.insert(message.to);
        }
    }
    CHECK_EQUAL(100, notified.size());
}

TEST(quarantine, strikes_reported_twice_count_once)
{
    const quarantine_notice notice{poison, 1, seconds(300), shard_id()};
    table.receive(owner, notice, t0, out);
    table.receive(entry, notice, t0, out);
    CHECK(limited(poison, t0));
    crash("s0-r0", {poison}, t0 + seconds(2));
    CHECK(refused(poison, t0 + seconds(2)));
}

// The replicas of a shard have different owner VMs: the second owner learns of
// the first crash only from the notice of the first owner.
TEST(quarantine, second_crash_at_another_owner_refuses)
{
    crash("s0-r0", {poison}, t0);
    const auto messages = out.take_peer_messages();
    CHECK_FALSE(messages.empty());
    const auto notice = std::get<quarantine_notice>(messages.at(0).body);
    quarantine at_owner(owner, roles);
    at_owner.settings_changed(settings);
    at_owner.receive(id_of<vm_id>("vm-0"), notice, t0, out);
    at_owner.record_server_crash(id_of<backend_server_id>("s0-r1"),
                                 {{poison, entry}}, t0 + milliseconds(5), out);
    CHECK(at_owner.check(poison, t0 + milliseconds(5)) ==
          quarantine_status::refused);
}

TEST(quarantine, full_completion_clears_the_suspect_on_notified_vms)
{
    crash("s0-r0", {innocent}, t0);
    quarantine at_entry(entry, roles);
    at_entry.settings_changed(settings);
    at_entry.receive(owner, {innocent, 1, seconds(300), shard_id()}, t0, out);
    out.take_peer_messages();
    at_entry.record_full_completion(innocent, out);
    const auto messages = out.take_peer_messages();
    CHECK_EQUAL(1, messages.size());
    CHECK(messages.at(0).to == owner);
    const auto clearance = std::get<quarantine_notice>(messages.at(0).body);
    table.receive(entry, clearance, t0, out);
    CHECK(table.check(innocent, t0) == quarantine_status::free);
    CHECK(out.take_peer_messages().at(0).to == owner);
}

TEST(quarantine, refusal_is_not_cleared)
{
    crash("s0-r0", {poison}, t0);
    crash("s0-r1", {poison}, t0);
    table.record_completion(poison, shard_id_of("search", "s0"));
    table.record_full_completion(poison, out);
    table.receive(entry, {poison, 0, duration(0), shard_id()}, t0, out);
    CHECK(refused(poison, t0));
}

TEST(quarantine, full_table_keeps_refused_requests)
{
    crash("s0-r0", {poison}, t0);
    crash("s0-r1", {poison}, t0);
    for (std::uint64_t i = 10; i < 5010; ++i) {
        table.receive(owner, {fingerprint(i), 1, seconds(300), shard_id()}, t0,
                      out);
    }
    CHECK_EQUAL(4096, table.size());
    CHECK(refused(poison, t0));
    table.tick(t0 + seconds(301), out);
    CHECK_EQUAL(0, table.size());
}
