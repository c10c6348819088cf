#include "systems/members/peer_sessions.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

constexpr vm_id here(1);
constexpr vm_id there(2);

node_identity identity(vm_id vm, std::uint64_t process)
{
    node_identity self;
    self.vm = vm;
    self.process = incarnation(process);
    return self;
}

peer_envelope envelope_of(std::uint64_t process, std::uint64_t sequence)
{
    peer_envelope e;
    e.from = there;
    e.from_incarnation = incarnation(process);
    e.to_incarnation = incarnation(10);
    e.sequence = sequence;
    e.body = role_release_request{};
    return e;
}

} // namespace

TEST_GROUP(peer_sessions)
{
    peer_sessions sessions{identity(here, 10)};

    bool accepts(std::uint64_t process, std::uint64_t sequence)
    {
        return sessions.accept(envelope_of(process, sequence));
    }
};

TEST(peer_sessions, only_a_heartbeat_goes_to_an_unknown_process)
{
    CHECK_FALSE(sessions.wrap(there, role_release_request{}).has_value());
    const auto introduction = sessions.wrap(there, heartbeat{});
    CHECK(introduction.has_value());
    CHECK_FALSE(introduction->to_incarnation.is_set());
    CHECK_EQUAL(1, sessions.drops().unaddressable);
}

TEST(peer_sessions, envelope_is_addressed_to_the_process_heard)
{
    CHECK(accepts(20, 1));
    CHECK(sessions.wrap(there, role_release_request{})->to_incarnation ==
          incarnation(20));
}

TEST(peer_sessions, only_a_heartbeat_is_accepted_unaddressed)
{
    peer_envelope e = envelope_of(20, 1);
    e.to_incarnation = incarnation();
    CHECK_FALSE(sessions.accept(e));
    e.body = heartbeat{};
    CHECK(sessions.accept(e));
}

TEST(peer_sessions, envelope_for_an_earlier_process_is_dropped_and_reported)
{
    peer_envelope e = envelope_of(20, 1);
    e.to_incarnation = incarnation(9);
    CHECK_FALSE(sessions.accept(e));
    CHECK_EQUAL(1, sessions.take_misaddressed().size());
    CHECK_FALSE(sessions.process_of(there).is_set());
}

TEST(peer_sessions, duplicates_are_dropped_in_any_order)
{
    const std::uint64_t order[] = {1, 2, 5, 3, 1500, 1499, 477};
    for (const std::uint64_t sequence : order) {
        CHECK(accepts(20, sequence));
    }
    for (const std::uint64_t sequence : order) {
        CHECK_FALSE(accepts(20, sequence));
    }
    CHECK_FALSE(accepts(20, 476));
    CHECK_EQUAL(3, sessions.drops().duplicate);
    CHECK_EQUAL(5, sessions.drops().too_old);
}

TEST(peer_sessions, replaced_process_is_dropped_and_reported)
{
    CHECK(accepts(20, 1));
    CHECK_EQUAL(0, sessions.take_restarted().size());
    CHECK(accepts(21, 1));
    CHECK_EQUAL(1, sessions.take_restarted().size());
    CHECK_FALSE(accepts(20, 2));
    CHECK_EQUAL(1, sessions.drops().superseded);
    CHECK(sessions.process_of(there) == incarnation(21));
}

TEST(peer_sessions, wrongly_replaced_process_is_reinstated_without_duplicates)
{
    CHECK(accepts(21, 1));
    CHECK(accepts(20, 7));
    std::uint64_t sequence = 2;
    while (!accepts(21, sequence)) {
        ++sequence;
        CHECK(sequence < 100);
    }
    for (std::uint64_t past = 1; past <= sequence; ++past) {
        CHECK_FALSE(accepts(21, past));
    }
    CHECK(accepts(21, sequence + 1));
    CHECK_FALSE(accepts(20, 8));
}

TEST(peer_sessions, processes_with_stale_views_of_each_other_recover)
{
    peer_sessions other{identity(there, 21)};
    CHECK(accepts(21, 1));
    CHECK(accepts(20, 1));
    peer_envelope e = envelope_of(10, 1);
    e.from = here;
    e.to_incarnation = incarnation(21);
    CHECK(other.accept(e));
    e.from_incarnation = incarnation(9);
    CHECK(other.accept(e));
    bool reached = false;
    for (int i = 0; i < 100 && !reached; ++i) {
        sessions.accept(*other.wrap(here, role_release_request{}));
        reached = other.accept(*sessions.wrap(there, role_release_request{}));
    }
    CHECK(reached);
    CHECK(sessions.accept(*other.wrap(here, role_release_request{})));
}

TEST(peer_sessions, replaced_processes_are_kept_up_to_a_bound)
{
    for (std::uint64_t process = 20; process < 29; ++process) {
        CHECK(accepts(process, 1));
    }
    for (std::uint64_t process = 20; process < 28; ++process) {
        CHECK_FALSE(accepts(process, 2));
    }
}
