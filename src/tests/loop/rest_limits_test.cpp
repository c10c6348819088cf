#include "loop/rest_limits.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <random>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(rest_limits)
{
    rest_limits limits;
    time_point now{1h};
    const backend_server_id first{1};
    const backend_server_id other{9};

    void lose(duration rested)
    {
        limits.lost(first, rested, now);
    }
    void work(duration rested)
    {
        limits.worked(first, rested, now);
    }
    bool may_use(duration rested)
    {
        return limits.may_use(first, rested, now);
    }
};

// One loss may have any reason; a limit after it cost a new connection for
// nearly each send.
TEST(rest_limits, only_the_second_loss_in_a_row_limits_its_server)
{
    lose(800ms);
    CHECK(may_use(3s));
    now += 1s;
    lose(1200ms);
    CHECK(may_use(100ms));
    CHECK_FALSE(may_use(101ms));
    CHECK(limits.may_use(other, 3s, now));
}

TEST(rest_limits, losses_far_apart_are_not_in_a_row)
{
    lose(800ms);
    now += 31s;
    lose(800ms);
    CHECK(may_use(3s));
}

// While a server loses answers, idle connections are lost like all others.
TEST(rest_limits, a_loss_is_not_explained_if_a_longer_idle_time_worked_lately)
{
    work(900ms);
    now += 2s;
    work(300ms);
    for (int i = 0; i < 3; ++i) {
        lose(800ms);
        now += 1s;
    }
    CHECK(may_use(3s));
    // The evidence is old now.
    now += 6s;
    lose(800ms);
    lose(800ms);
    CHECK_FALSE(may_use(800ms));
}

TEST(rest_limits, a_loss_is_not_explained_if_a_fresh_connection_was_lost_lately)
{
    limits.lost_fresh(first, now);
    now += 5s;
    lose(800ms);
    lose(800ms);
    CHECK(may_use(3s));
    now += 2s;
    lose(800ms);
    lose(800ms);
    CHECK_FALSE(may_use(800ms));
}

TEST(rest_limits, the_longest_idle_time_that_works_below_the_losses_is_used)
{
    work(300ms);
    lose(1s);
    lose(900ms);
    CHECK(may_use(300ms));
    CHECK_FALSE(may_use(301ms));
    now += 2s;
    CHECK(may_use(500ms));
    work(500ms);
    CHECK(may_use(500ms));
    CHECK_FALSE(may_use(501ms));
}

TEST(rest_limits, the_limit_has_a_floor)
{
    lose(1ms);
    lose(1ms);
    CHECK(may_use(50ms));
    CHECK_FALSE(may_use(51ms));
}

TEST(rest_limits, one_connection_is_tried_once_a_limit_has_held_for_its_term)
{
    lose(1s);
    lose(1s);
    now += 2s;
    CHECK(may_use(3s));
    CHECK_FALSE(may_use(3s));
    // Lost again: the next trial comes after twice the time.
    lose(3s);
    now += 3s;
    CHECK_FALSE(may_use(3s));
    now += 1s;
    CHECK(may_use(3s));
    work(3s);
    CHECK(may_use(4s));
    CHECK(may_use(4s));
}

namespace {

/** Sends of one VM to one server, one connection kept. */
struct vm_sends
{
    std::uint32_t sends = 0;
    std::uint32_t lost = 0;
    std::uint32_t opened = 0;
};

using fate = std::function<bool(duration rested, time_point now)>;

/** Sends each 0.8 to 2 s; a connection that is lost is replaced. */
vm_sends send_for(duration time, const fate& loses_kept,
                  const std::function<bool(time_point)>& loses_fresh,
                  std::uint32_t seed)
{
    rest_limits limits;
    const backend_server_id server(1);
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> gap_ms(800, 2000);
    time_point now{1h};
    const time_point end = now + time;
    std::optional<time_point> idle_since;
    vm_sends sums;
    while (now < end) {
        now += std::chrono::milliseconds(gap_ms(random));
        ++sums.sends;
        const duration rested = idle_since ? now - *idle_since : duration(0);
        if (idle_since && limits.may_use(server, rested, now)) {
            if (loses_kept(rested, now)) {
                limits.lost(server, rested, now);
                ++sums.lost;
                idle_since.reset();
                // Sent again at once.
                ++sums.opened;
                idle_since = now;
            } else {
                limits.worked(server, rested, now);
                idle_since = now;
            }
            continue;
        }
        ++sums.opened;
        if (loses_fresh(now)) {
            limits.lost_fresh(server, now);
            ++sums.lost;
            idle_since.reset();
        } else {
            idle_since = now;
        }
    }
    return sums;
}

} // namespace

// In one run 141,404 requests opened 33,771 connections, as losses of answers
// for 4 s were taken for idle connections that servers had forgotten.
TEST(rest_limits, a_server_that_loses_answers_for_4_s_leaves_no_limit)
{
    std::uint32_t opened = 0;
    std::uint32_t needed = 0;
    for (std::uint32_t seed = 1; seed <= 86; ++seed) {
        std::mt19937 random(seed);
        const auto loses = [&](time_point at) {
            const bool incident =
                at >= time_point(1h + 20s) && at < time_point(1h + 24s);
            return incident && random() % 10 < 4;
        };
        const vm_sends sums = send_for(
            60s, [&](duration, time_point at) { return loses(at); }, loses,
            seed);
        opened += sums.opened;
        needed += sums.lost + 1;
    }
    // A loss needs one new connection; a tenth more is for false limits.
    CHECK(opened <= needed * 11 / 10);
}

TEST(rest_limits, a_server_that_forgets_after_320_ms_is_learnt_in_two_losses)
{
    for (std::uint32_t seed = 1; seed <= 86; ++seed) {
        const vm_sends sums = send_for(
            3900ms, [](duration rested, time_point) { return rested > 320ms; },
            [](time_point) { return false; }, seed);
        CHECK(sums.lost <= 2);
        const vm_sends longer = send_for(
            60s, [](duration rested, time_point) { return rested > 320ms; },
            [](time_point) { return false; }, seed);
        // Beside the two, trials after 2, 4, 8, 16 and 32 s.
        CHECK(longer.lost <= 7);
    }
}
