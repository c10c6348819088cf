#include "systems/members/heartbeats.hpp"

#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(heartbeats)
{
    fakes::sample_shape shape;
    time_point now{1h};
    outbox out;
    std::unique_ptr<heartbeats> beats;

    void start(std::uint32_t vms)
    {
        shape.vms = vms;
        node_identity self;
        self.vm = id_of<vm_id>("vm-0");
        self.started = now;
        beats = std::make_unique<heartbeats>(self);
        beats->settings_changed(fakes::sample_index(shape), now);
    }
    heartbeat sent_to(vm_id vm)
    {
        for (const auto& message : out.take_peer_messages()) {
            if (message.to == vm) {
                return std::get<heartbeat>(message.body);
            }
        }
        FAIL("no heartbeat was sent");
        return {};
    }
    /** Lets a peer answer this VM's heartbeat of now. */
    void answer(vm_id peer, std::uint64_t revision, duration age = 0s)
    {
        heartbeat message;
        message.revision = revision_number(revision);
        message.confirmed_age = age;
        message.mark = 1;
        message.echo =
            static_cast<std::uint64_t>(now.time_since_epoch().count());
        beats->receive(peer, message, now, out);
    }
    vm_id peer(std::size_t i)
    {
        return beats->heartbeat_peers()[i];
    }
};

TEST(heartbeats, cost_of_a_vm_stays_when_the_fleet_grows)
{
    start(840);
    beats->tick(now, out);
    CHECK_EQUAL(8, out.take_peer_messages().size());
    beats->tick(now + 500ms, out);
    CHECK_EQUAL(0, out.take_peer_messages().size());
}

TEST(heartbeats, wanted_reply_echoes_the_mark)
{
    start(4);
    heartbeat asking;
    asking.mark = 77;
    asking.wants_reply = true;
    beats->receive(peer(0), asking, now, out);
    const heartbeat reply = sent_to(peer(0));
    CHECK_EQUAL(77, reply.echo);
    CHECK_FALSE(reply.wants_reply);
}

TEST(heartbeats, any_configured_vm_is_reached_at_a_bounded_rate)
{
    start(840);
    const vm_id far = id_of<vm_id>("vm-700");
    beats->introduce_to(far, now, out);
    beats->introduce_to(far, now + 10ms, out);
    beats->introduce_to(vm_id(12345), now, out);
    CHECK_EQUAL(1, out.take_peer_messages().size());
}

TEST(heartbeats, platform_confirms_for_the_life_of_a_view)
{
    start(8);
    CHECK_FALSE(beats->view_confirmed(now));
    beats->platform_answered(now);
    CHECK(beats->view_confirmed(now + 6s));
    CHECK_FALSE(beats->view_confirmed(now + 6001ms));
}

TEST(heartbeats, confirmation_of_a_peer_keeps_its_age)
{
    start(8);
    answer(peer(0), 1, 4s);
    CHECK(beats->view_confirmed(now + 2s));
    CHECK_FALSE(beats->view_confirmed(now + 2001ms));
}

TEST(heartbeats, peer_without_our_mark_confirms_nothing)
{
    start(8);
    heartbeat late;
    late.revision = revision_number(1);
    late.confirmed_age = 1ms;
    for (const vm_id vm : beats->heartbeat_peers()) {
        beats->receive(vm, late, now, out);
    }
    CHECK_FALSE(beats->view_confirmed(now));
}

TEST(heartbeats, majority_confirms_when_nobody_has_the_platform)
{
    start(8);
    for (std::size_t i = 0; i < 3; ++i) {
        answer(peer(i), 1);
    }
    CHECK_FALSE(beats->view_confirmed(now));
    answer(peer(3), 1);
    CHECK(beats->view_confirmed(now));
    CHECK_FALSE(beats->view_confirmed(now + 7s));
}

TEST(heartbeats, newer_revision_at_a_peer_ends_the_peers_confirmation)
{
    start(8);
    for (std::size_t i = 0; i < 7; ++i) {
        answer(peer(i), i == 5 ? 2 : 1, i == 5 ? 1ms : 0ms);
    }
    CHECK_FALSE(beats->view_confirmed(now));
    CHECK(beats->peer_with_newer_revision() == peer(5));
}

TEST(heartbeats, sample_of_a_large_fleet_needs_all_but_one)
{
    start(40);
    for (std::size_t i = 0; i < 6; ++i) {
        answer(peer(i), 1);
    }
    CHECK_FALSE(beats->view_confirmed(now));
    answer(peer(6), 1);
    CHECK(beats->view_confirmed(now));
}

TEST(heartbeats, own_observation_goes_before_the_list)
{
    start(8);
    beats->vm_list_changed({list_version(1), {{peer(0), true}}});
    CHECK_FALSE(beats->is_likely_alive(peer(1), now));
    CHECK(beats->is_leaving(peer(0)));
    answer(peer(0), 1);
    answer(peer(1), 1);
    CHECK(beats->is_likely_alive(peer(1), now));
    CHECK_FALSE(beats->is_leaving(peer(0)));
    CHECK_FALSE(beats->is_likely_alive(peer(0), now + 4s));
}

TEST(heartbeats, older_list_is_ignored)
{
    start(40);
    const vm_id far = id_of<vm_id>("vm-30");
    beats->vm_list_changed({list_version(2), {}});
    beats->vm_list_changed({list_version(1), {{far, false}}});
    CHECK_FALSE(beats->is_likely_alive(far, now));
}

TEST(heartbeats, leaving_is_told_at_once)
{
    start(8);
    beats->leave(now, out);
    CHECK(sent_to(peer(3)).leaving);
}
