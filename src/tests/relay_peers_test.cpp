#include "systems/members/relay_peers.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(relay_peers)
{
    seeded_random random{3};
    time_point now{1h};
    member_directory members{{"10.0.0.1:7000", {"10.0.0.1:7000"}}, random, now};
    relay_peers peers{members, random};
    const std::string first = "10.0.0.2:7000";
    const std::string second = "10.0.0.3:7000";

    void hear(const std::string& peer, bool accepts)
    {
        gateway_datagram datagram;
        datagram.process = incarnation(7);
        members.received(peer, datagram, now);
        peers.received(peer, accepts);
    }
    std::set<std::string> drawn()
    {
        std::set<std::string> found;
        for (int i = 0; i < 100; ++i) {
            if (const auto peer = peers.choose(now)) {
                found.insert(*peer);
            }
        }
        return found;
    }
};

TEST(relay_peers, only_live_peers_that_accept_relays_are_asked)
{
    CHECK(!peers.choose(now));
    CHECK(!peers.available(now));
    hear(first, true);
    hear(second, false);
    CHECK(drawn() == std::set<std::string>{first});
    hear(second, true);
    CHECK_EQUAL(2U, drawn().size());
    hear(first, false);
    CHECK(drawn() == std::set<std::string>{second});
    now += 10s;
    CHECK(drawn().empty());
    CHECK(!peers.available(now));
}

TEST(relay_peers, the_less_used_peer_is_asked)
{
    hear(first, true);
    hear(second, true);
    for (int i = 0; i < 10; ++i) {
        peers.sent(first);
    }
    int used = 0;
    for (int i = 0; i < 100; ++i) {
        used += peers.choose(now) == first ? 1 : 0;
    }
    // Both draws hit it in a quarter of the cases.
    CHECK(used < 45);
}

TEST(relay_peers, a_peer_that_declines_is_avoided_for_a_moment)
{
    hear(first, true);
    peers.sent(first);
    peers.ended(first,
                {exchange_id(1), exchange_failure{exchange_fault::declined}},
                now);
    CHECK(!peers.choose(now));
    CHECK(peers.available(now));
    CHECK(peers.choose(now + 30ms) == first);
}

TEST(relay_peers, a_peer_that_cannot_be_reached_is_avoided_longer)
{
    hear(first, true);
    peers.sent(first);
    peers.ended(
        first,
        {exchange_id(1), exchange_failure{exchange_fault::not_connected}}, now);
    CHECK(!peers.choose(now + 500ms));
    CHECK(peers.choose(now + 1100ms) == first);
}

// The fault is the server's, which the peer names.
TEST(relay_peers, a_peer_whose_server_failed_is_not_avoided)
{
    hear(first, true);
    peers.sent(first);
    peers.ended(first,
                {exchange_id(1),
                 exchange_failure{exchange_fault::connection_lost},
                 backend_server_id(4)},
                now);
    CHECK(peers.choose(now) == first);
}

TEST(relay_peers, silent_peers_are_forgotten_once_nothing_is_in_flight)
{
    hear(first, true);
    peers.sent(first);
    now += 10s;
    peers.drop_silent(now);
    peers.cancelled(first);
    peers.drop_silent(now);
    CHECK(!peers.available(now));
}
