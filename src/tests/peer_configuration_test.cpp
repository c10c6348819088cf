#include "systems/store/peer_configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(peer_configuration)
{
    peer_configuration peers;
    time_point now{1h};
};

TEST(peer_configuration, a_change_that_is_spreading_is_left_to_the_own_reading)
{
    peers.heard("a", 7, 5, now);
    CHECK(peers.is_behind(5));
    CHECK(!peers.next_source(5, now + 200ms));
    CHECK(!peers.is_behind(7));
    CHECK(!peers.next_source(7, now + 1s));
}

// The store holds an older copy, or does not serve this VM.
TEST(peer_configuration, a_vm_that_stays_behind_asks_the_peer_with_the_newest)
{
    peers.heard("a", 7, 5, now);
    peers.heard("b", 10, 5, now + 100ms);
    peers.heard("c", 6, 5, now + 200ms);
    CHECK(peers.next_source(5, now + 300ms) == std::string("b"));
    CHECK(!peers.next_source(5, now + 400ms));
    peers.heard("d", 10, 5, now + 500ms);
    CHECK(peers.next_source(5, now + 700ms) == std::string("d"));
}

TEST(peer_configuration, each_time_behind_begins_anew)
{
    peers.heard("a", 7, 5, now);
    peers.heard("a", 8, 7, now + 1s);
    CHECK(!peers.next_source(7, now + 1200ms));
    CHECK(peers.next_source(7, now + 1300ms) == std::string("a"));
}
