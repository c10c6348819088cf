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
    /** Delivers a peer's reply to the heartbeat that this VM sent now. */
    void receive_reply(vm_id peer, std::uint64_t revision, duration age = 0s)
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

TEST(heartbeats, heartbeats_per_vm_are_constant_in_a_large_fleet)
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

TEST(heartbeats, introductions_to_any_configured_vm_are_rate_limited)
{
    start(840);
    const vm_id distant = id_of<vm_id>("vm-700");
    beats->introduce_to(distant, now, out);
    beats->introduce_to(distant, now + 10ms, out);
    beats->introduce_to(vm_id(12345), now, out);
    CHECK_EQUAL(1, out.take_peer_messages().size());
}

TEST(heartbeats, platform_answer_confirms_for_view_life)
{
    start(8);
    CHECK_FALSE(beats->view_confirmed(now));
    beats->platform_answered(now);
    CHECK(beats->view_confirmed(now + 6s));
    CHECK_FALSE(beats->view_confirmed(now + 6001ms));
}

TEST(heartbeats, relayed_confirmation_keeps_its_age)
{
    start(8);
    receive_reply(peer(0), 1, 4s);
    CHECK(beats->view_confirmed(now + 2s));
    CHECK_FALSE(beats->view_confirmed(now + 2001ms));
}

TEST(heartbeats, heartbeat_without_echo_confirms_nothing)
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

TEST(heartbeats, majority_confirms_while_the_platform_is_unreachable)
{
    start(8);
    for (std::size_t i = 0; i < 3; ++i) {
        receive_reply(peer(i), 1);
    }
    CHECK_FALSE(beats->view_confirmed(now));
    receive_reply(peer(3), 1);
    CHECK(beats->view_confirmed(now));
    CHECK_FALSE(beats->view_confirmed(now + 7s));
}

TEST(heartbeats, newer_revision_at_a_peer_prevents_confirmation)
{
    start(8);
    for (std::size_t i = 0; i < 7; ++i) {
        receive_reply(peer(i), i == 5 ? 2 : 1, i == 5 ? 1ms : 0ms);
    }
    CHECK_FALSE(beats->view_confirmed(now));
    CHECK(beats->peer_with_newer_revision() == peer(5));
}

TEST(heartbeats, large_fleet_needs_all_peers_but_one)
{
    start(40);
    for (std::size_t i = 0; i < 6; ++i) {
        receive_reply(peer(i), 1);
    }
    CHECK_FALSE(beats->view_confirmed(now));
    receive_reply(peer(6), 1);
    CHECK(beats->view_confirmed(now));
}

TEST(heartbeats, own_observation_overrides_the_list)
{
    start(8);
    beats->vm_list_changed({list_version(1), {{peer(0), true}}});
    CHECK_FALSE(beats->is_likely_alive(peer(1), now));
    CHECK(beats->is_leaving(peer(0)));
    receive_reply(peer(0), 1);
    receive_reply(peer(1), 1);
    CHECK(beats->is_likely_alive(peer(1), now));
    CHECK_FALSE(beats->is_leaving(peer(0)));
    CHECK_FALSE(beats->is_likely_alive(peer(0), now + 4s));
}

TEST(heartbeats, older_list_is_ignored)
{
    start(40);
    const vm_id distant = id_of<vm_id>("vm-30");
    beats->vm_list_changed({list_version(2), {}});
    beats->vm_list_changed({list_version(1), {{distant, false}}});
    CHECK_FALSE(beats->is_likely_alive(distant, now));
}

TEST(heartbeats, leaving_is_sent_at_once)
{
    start(8);
    beats->leave(now, out);
    CHECK(sent_to(peer(3)).leaving);
}
