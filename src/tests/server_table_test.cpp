#include "tables/server_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(server_table)
{
    server_table servers;
    time_point now{1h};
    const service_id service{7};

    backend_server_entry entry(std::uint64_t born, std::uint64_t sequence,
                               bool draining = false)
    {
        backend_server_entry e;
        e.id = backend_server_id(1);
        e.service = service;
        e.born_ms = born;
        e.sequence = sequence;
        e.draining = draining;
        return e;
    }
};

TEST(server_table, a_late_report_does_not_undo_draining)
{
    servers.put(entry(100, 4), now);
    CHECK(servers.put(entry(100, 6, true), now) == put_result::updated);
    CHECK(servers.put(entry(100, 5), now) == put_result::stale);
    CHECK(servers.find(backend_server_id(1))->entry.draining);
}

TEST(server_table, a_late_report_does_not_bring_back_a_departed_server)
{
    servers.put(entry(100, 4), now);
    servers.remove(backend_server_id(1));
    CHECK(servers.put(entry(100, 4), now) == put_result::stale);
    CHECK(servers.of_service(service).empty());
    CHECK(servers.put(entry(100, 5), now) == put_result::started);
}

TEST(server_table, an_unlisted_server_returns_by_a_new_report_only)
{
    servers.put(entry(100, 4), now);
    servers.find(backend_server_id(1))->unlisted_at = now;
    CHECK(servers.put(entry(100, 4), now) == put_result::stale);
    CHECK(servers.put(entry(100, 5), now) == put_result::updated);
    CHECK(!servers.find(backend_server_id(1))->unlisted_at);
}

TEST(server_table, a_restart_begins_its_count_anew)
{
    servers.put(entry(100, 40), now);
    servers.find(backend_server_id(1))->latency = 9ms;
    CHECK(servers.put(entry(200, 1), now) == put_result::started);
    CHECK(servers.find(backend_server_id(1))->latency == duration(0));
    CHECK(servers.put(entry(100, 41), now) == put_result::stale);
}

TEST(server_table, a_server_moves_between_services)
{
    servers.put(entry(100, 1), now);
    backend_server_entry moved = entry(100, 2);
    moved.service = service_id(8);
    servers.put(moved, now);
    CHECK(servers.of_service(service).empty());
    CHECK_EQUAL(1, servers.of_service(service_id(8)).size());
}
