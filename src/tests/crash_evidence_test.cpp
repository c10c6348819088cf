#include "systems/queries/crash_evidence.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(crash_evidence)
{
    crash_evidence evidence;
    time_point start{1h};
    backend_server_id server{3};

    void lose(std::uint64_t print, duration sent, duration lost)
    {
        evidence.add({fingerprint(print), server, service_id(1), start + sent,
                      start + lost});
    }
};

TEST(crash_evidence, a_lost_send_is_a_crash_once_its_server_is_gone)
{
    lose(1, 0ms, 5ms);
    lose(2, 2ms, 5ms);
    CHECK(evidence.take_crashes(backend_server_id(4), start + 9ms).empty());
    const auto crashes = evidence.take_crashes(server, start + 9ms);
    CHECK_EQUAL(2, crashes.size());
    CHECK(crashes[0].print == fingerprint(1));
    CHECK(evidence.take_crashes(server, start + 9ms).empty());
}

TEST(crash_evidence, an_answer_to_a_later_send_drops_the_loss)
{
    lose(1, 0ms, 5ms);
    evidence.drop_before(server, start + 4ms);
    CHECK(evidence.has(server));
    evidence.drop_before(server, start + 5ms);
    CHECK(!evidence.has(server));
    CHECK(evidence.take_crashes(server, start + 9ms).empty());
}

TEST(crash_evidence, a_loss_of_long_ago_is_not_the_fault_of_a_later_end)
{
    lose(1, 0ms, 5ms);
    lose(2, 9s, 9s);
    const auto crashes = evidence.take_crashes(server, start + 11s);
    CHECK_EQUAL(1, crashes.size());
    CHECK(crashes[0].print == fingerprint(2));
    lose(3, 0ms, 5ms);
    evidence.drop_expired(start + 11s);
    CHECK(!evidence.has(server));
}
