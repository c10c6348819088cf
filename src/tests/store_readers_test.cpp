#include "systems/store/store_readers.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

std::string address(std::size_t vm)
{
    return "10.0.0." + std::to_string(vm + 1) + ":7000";
}

} // namespace

TEST_GROUP(store_readers)
{
    seeded_random random{4};
    time_point now{1h};

    /**
     * A VM that has received datagrams of the other VMs of its fleet.
     * receive_datagrams() can exclude those of one VM.
     */
    struct vm
    {
        /** The process has run for `age`; at first other rules hold. */
        vm(std::size_t self, std::size_t fleet, random_source& random,
           time_point now, duration age = 5s)
            : m_self(self), m_fleet(fleet),
              members({address(self), {address(0), address(1)}}, random,
                      now - age),
              readers(members)
        {
            receive_datagrams(now, SIZE_MAX);
        }
        void receive_datagrams(time_point now, std::size_t excluded)
        {
            for (std::size_t other = 0; other < m_fleet; ++other) {
                if (other == m_self || other == excluded) {
                    continue;
                }
                gateway_datagram datagram;
                datagram.fleet_size = static_cast<std::uint32_t>(m_fleet);
                datagram.settled = true;
                members.received(address(other), datagram, now);
            }
        }

        std::size_t m_self;
        std::size_t m_fleet;
        member_directory members;
        store_readers readers;
    };
    /** Returns a VM of a large fleet that follows a reader. */
    vm follower()
    {
        std::size_t self = 0;
        while (!vm(self, 67, random, now).readers.source(now)) {
            ++self;
        }
        return vm(self, 67, random, now);
    }
};

TEST(store_readers, every_vm_of_a_small_fleet_reads)
{
    for (std::size_t self = 0; self < 8; ++self) {
        vm one(self, 8, random, now);
        CHECK(!one.readers.source(now));
    }
}

// A VM that starts counts as a reader and remains one if it ranks among the
// first five; the others follow one of the first three.
TEST(store_readers, a_few_vms_of_a_large_fleet_read)
{
    std::size_t reading = 0;
    std::map<std::string, int> followed;
    for (std::size_t self = 0; self < 67; ++self) {
        vm one(self, 67, random, now);
        if (const auto source = one.readers.source(now)) {
            ++followed[*source];
        } else {
            ++reading;
        }
    }
    CHECK_EQUAL(5, reading);
    CHECK_EQUAL(3, followed.size());
}

TEST(store_readers, a_vm_that_does_not_know_the_fleet_reads)
{
    member_directory members({address(9), {address(0)}}, random, now);
    store_readers readers(members);
    CHECK(!readers.source(now + 1min));
}

TEST(store_readers, a_failed_reader_is_replaced)
{
    std::size_t self = 0;
    while (!vm(self, 67, random, now).readers.source(now)) {
        ++self;
    }
    vm one(self, 67, random, now);
    const std::string first = *one.readers.source(now);
    one.readers.failed(reader_fault::unreachable, now);
    const auto second = one.readers.source(now);
    CHECK(second.has_value());
    CHECK(*second != first);
    now += 6s;
    one.receive_datagrams(now, SIZE_MAX);
    CHECK(one.readers.source(now) == second);
}

TEST(store_readers, two_close_failures_make_a_vm_read)
{
    std::size_t self = 0;
    while (!vm(self, 67, random, now).readers.source(now)) {
        ++self;
    }
    vm one(self, 67, random, now);
    CHECK(one.readers.source(now).has_value());
    one.readers.failed(reader_fault::unreachable, now);
    one.readers.failed(reader_fault::unreachable, now + 2s);
    now += 11s;
    one.receive_datagrams(now, SIZE_MAX);
    CHECK(!one.readers.source(now));
    now += 2s;
    CHECK(one.readers.source(now).has_value());
}

TEST(store_readers, a_reader_without_the_store_is_retried_soon)
{
    vm one = follower();
    const std::string first = *one.readers.source(now);
    one.readers.failed(reader_fault::store_unreachable, now);
    CHECK(one.readers.source(now) != first);
    now += 6s;
    one.receive_datagrams(now, SIZE_MAX);
    one.readers.failed(reader_fault::store_unreachable, now);
    CHECK(one.readers.source(now).has_value());
}

// With the store down for all VMs, a follower calls it once and then returns to
// the readers.
TEST(store_readers, a_store_that_is_down_gets_few_calls)
{
    vm one = follower();
    int tries = 0;
    const time_point end = now + 20s;
    while (now < end) {
        one.receive_datagrams(now, SIZE_MAX);
        if (one.readers.must_wait(now)) {
            now += 50ms;
        } else if (one.readers.source(now)) {
            one.readers.failed(reader_fault::store_unreachable, now);
        } else {
            ++tries;
            one.readers.store_failed(now);
        }
    }
    CHECK(tries >= 2);
    CHECK(tries <= 3);
}

TEST(store_readers, a_vm_that_reaches_the_store_keeps_reading_for_a_while)
{
    vm one = follower();
    CHECK(one.readers.source(now).has_value());
    one.readers.failed(reader_fault::unreachable, now);
    one.readers.failed(reader_fault::unreachable, now);
    CHECK_FALSE(one.readers.must_wait(now));
    CHECK(!one.readers.source(now));
    now += 9s;
    one.receive_datagrams(now, SIZE_MAX);
    CHECK(!one.readers.source(now));
    now += 2s;
    one.receive_datagrams(now, SIZE_MAX);
    CHECK(one.readers.source(now).has_value());
}

// A large fleet that starts at once: only the seeds may make linearizable
// calls, at any time of the start; every other VM follows a seed without
// waiting. The wait of one second before was a refusal of all requests of that
// second.
TEST(store_readers, a_large_fleet_that_starts_at_once_is_read_for_by_the_seeds)
{
    constexpr std::size_t fleet = 295;
    const std::vector<std::string> seeds = {address(0), address(1), address(2)};
    std::size_t reading = 0;
    std::map<std::string, int> followed;
    for (std::size_t self = 0; self < fleet; ++self) {
        member_directory members({address(self), seeds}, random, now);
        store_readers readers(members);
        CHECK_FALSE(readers.must_wait(now));
        const auto at_start = readers.source(now);
        gateway_datagram datagram;
        datagram.fleet_size = 40;
        members.received(address((self + 7) % fleet), datagram, now + 600ms);
        for (const duration age : {0ms, 600ms, 999ms, 1000ms}) {
            CHECK_FALSE(readers.must_wait(now + age));
            CHECK(readers.source(now + age) == at_start);
        }
        CHECK_EQUAL(self >= seeds.size(), readers.lists_at_start());
        if (!at_start) {
            ++reading;
        } else {
            CHECK(std::find(seeds.begin(), seeds.end(), *at_start) !=
                  seeds.end());
            ++followed[*at_start];
        }
    }
    CHECK_EQUAL(3, reading);
    // No seed gets most of the followers.
    for (const auto& [seed, followers] : followed) {
        CHECK(followers <= 140);
    }
}

// A reader that ends halfway must not cost the time of a review.
TEST(store_readers, a_starting_vm_turns_to_the_next_seed_at_once)
{
    const std::vector<std::string> seeds = {address(0), address(1), address(2)};
    member_directory members({address(9), seeds}, random, now);
    store_readers readers(members);
    std::vector<std::string> asked;
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        CHECK_FALSE(readers.must_wait(now));
        asked.push_back(*readers.source(now));
        readers.failed(reader_fault::unreachable, now);
    }
    std::sort(asked.begin(), asked.end());
    CHECK(asked == seeds);
}

// Seeds that start at the same time do not listen yet. The failures must not
// make every VM of a large fleet call the store, nor keep it from the seeds for
// the 5 s of an ordinary failure.
TEST(store_readers, seeds_that_do_not_listen_yet_are_asked_again_soon)
{
    const std::vector<std::string> seeds = {address(0), address(1)};
    member_directory members({address(9), seeds}, random, now);
    store_readers readers(members);
    int attempts = 0;
    for (duration age{0}; age < 1s; age += 10ms) {
        if (readers.must_wait(now + age)) {
            continue;
        }
        const auto source = readers.source(now + age);
        CHECK(source.has_value());
        ++attempts;
        readers.failed(age < 500ms ? reader_fault::unreachable
                                   : reader_fault::store_unreachable,
                       now + age);
    }
    CHECK(attempts >= 6);
    CHECK(attempts <= 10);
}

TEST(store_readers, a_vm_that_has_discovered_the_fleet_does_not_wait)
{
    vm one(9, 67, random, now, 0s);
    CHECK_FALSE(one.readers.must_wait(now + 200ms));
}

// Seeds may be stale: a VM tries each once and then reads the store.
TEST(store_readers, a_starting_vm_without_a_live_seed_reads)
{
    const std::vector<std::string> seeds = {address(0), address(1)};
    member_directory members({address(9), seeds}, random, now);
    store_readers readers(members);
    gateway_datagram datagram;
    datagram.fleet_size = 67;
    members.received(address(5), datagram, now);
    now += 1s;
    CHECK(readers.source(now).has_value());
    readers.failed(reader_fault::unreachable, now);
    now += 2s;
    if (readers.source(now)) {
        readers.failed(reader_fault::unreachable, now);
    }
    CHECK(!readers.source(now));
    CHECK_FALSE(readers.must_wait(now));
}

TEST(store_readers, a_vm_that_hears_of_few_others_reads_soon)
{
    member_directory members({address(3), {address(0)}}, random, now);
    store_readers readers(members);
    gateway_datagram datagram;
    datagram.fleet_size = 8;
    members.received(address(0), datagram, now);
    CHECK(readers.source(now) == address(0));
    CHECK(readers.source(now + 999ms) == address(0));
    CHECK_FALSE(readers.must_wait(now + 1s));
    CHECK(!readers.source(now + 1s));
}
