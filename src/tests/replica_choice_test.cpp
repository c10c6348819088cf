#include "systems/servers/replica_choice.hpp"

#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(replica_choice)
{
    time_point now{1h};
    seeded_random random{3};
    replica_choice choice{id_of<data_centre_id>("dc-0")};
    const backend_server_id local = id_of<backend_server_id>("s0-r0");
    const backend_server_id remote = id_of<backend_server_id>("s0-r1");
    const std::vector<backend_server_id> both{local, remote};

    void setup() override
    {
        choice.settings_changed(fakes::sample_index());
        result(local, shard_outcome::done);
        result(remote, shard_outcome::done);
    }

    void result(backend_server_id server, shard_outcome outcome,
                duration latency = 5ms, std::uint32_t queue = 0,
                bool cold = false)
    {
        shard_result r;
        r.backend_server = server;
        r.outcome = outcome;
        r.queue_length = queue;
        r.cold = cold;
        choice.sent(server);
        choice.observe(r, latency, now);
    }

    std::optional<backend_server_id> choose(bool allow_cold = true)
    {
        return choice.choose(both, allow_cold, random, now);
    }
};

TEST(replica_choice, prefers_the_local_data_centre)
{
    CHECK(choose() == local);
}

TEST(replica_choice, leaves_a_loaded_data_centre)
{
    result(local, shard_outcome::done, 5ms, 10);
    CHECK(choose() == remote);
    now += 1s;
    CHECK(choose() == local);
}

TEST(replica_choice, leaves_a_slow_data_centre)
{
    for (int i = 0; i < 20; ++i) {
        result(local, shard_outcome::done, 50ms);
    }
    CHECK(choose() == remote);
}

TEST(replica_choice, avoids_a_failed_server_for_a_while)
{
    result(local, shard_outcome::unknown);
    CHECK(choose() == remote);
    now += 1s;
    CHECK(choose() == local);
}

TEST(replica_choice, uses_a_failed_server_when_there_is_no_other)
{
    result(local, shard_outcome::unknown);
    result(remote, shard_outcome::unknown);
    CHECK(choose().has_value());
}

TEST(replica_choice, cold_servers_are_excluded_unless_allowed)
{
    result(local, shard_outcome::done, 5ms, 0, true);
    CHECK(choose(false) == remote);
    result(remote, shard_outcome::done, 5ms, 0, true);
    CHECK_FALSE(choose(false).has_value());
}

TEST(replica_choice, requests_in_flight_count_as_load)
{
    for (int i = 0; i < 3; ++i) {
        choice.sent(local);
    }
    CHECK(choose() == remote);
    for (int i = 0; i < 3; ++i) {
        choice.record_abandoned(local, 1ms, now);
    }
    CHECK(choose() == local);
}
