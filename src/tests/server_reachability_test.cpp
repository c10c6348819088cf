#include "systems/servers/server_reachability.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(server_reachability)
{
    static constexpr std::uint64_t server_count = 24;
    server_table servers;
    seeded_random random{9};
    server_reachability links{servers, random};
    time_point now{1h};
    std::vector<backend_server_id> probed;

    void setup() override
    {
        for (std::uint64_t id = 1; id <= server_count; ++id) {
            backend_server_entry entry;
            entry.id = backend_server_id(id);
            entry.service = service_id(id % 8 + 1);
            servers.put(entry, now);
        }
    }
    void end(std::uint64_t server, exchange_fault fault)
    {
        links.exchange_ended(backend_server_id(server),
                             {exchange_id(1), exchange_failure{fault}}, now);
        tick();
    }
    void tick()
    {
        gateway_commands out;
        links.tick(now, out);
        for (const gateway_command& command : out) {
            if (const auto* probe = std::get_if<probe_server>(&command)) {
                probed.push_back(probe->server);
            }
        }
    }
    void reply(const std::vector<probe_result>& results)
    {
        const std::vector<backend_server_id> round = std::move(probed);
        probed.clear();
        CHECK_EQUAL(results.size(), round.size());
        gateway_commands out;
        for (std::size_t i = 0; i < results.size(); ++i) {
            links.server_probed({round[i], results[i]}, now, out);
        }
    }
    void pass(duration length)
    {
        for (const time_point end = now + length; now < end; now += 10ms) {
            tick();
        }
    }
    void lose_links()
    {
        for (std::uint64_t id = 1; id <= 3; ++id) {
            end(id, exchange_fault::not_connected);
        }
        reply({4, probe_result::refused});
    }
};

TEST(server_reachability, two_failed_servers_are_no_reason_to_probe)
{
    end(1, exchange_fault::not_connected);
    end(2, exchange_fault::connection_refused);
    end(2, exchange_fault::connection_refused);
    CHECK(probed.empty());
    CHECK(!links.next_wakeup());
}

TEST(server_reachability, servers_that_have_not_failed_are_probed_first)
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        end(id, exchange_fault::not_connected);
    }
    CHECK_EQUAL(4U, probed.size());
    for (const backend_server_id server : probed) {
        CHECK(server.value() > 3);
    }
}

// A crash of many servers leaves others that can be reached.
TEST(server_reachability, one_connection_shows_that_the_links_are_up)
{
    for (std::uint64_t id = 1; id <= 12; ++id) {
        end(id, exchange_fault::connection_refused);
    }
    reply({probe_result::refused, probe_result::unreachable,
           probe_result::accepted, probe_result::refused});
    CHECK(!links.lost());
}

TEST(server_reachability, no_connection_in_a_round_means_that_links_are_lost)
{
    lose_links();
    CHECK(links.lost());
}

TEST(server_reachability, probes_without_an_answer_count_as_failed)
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        end(id, exchange_fault::connection_lost);
    }
    pass(300ms);
    CHECK(links.lost());
}

// Open connections may live on while new ones are refused.
TEST(server_reachability, answers_do_not_bring_lost_links_back)
{
    lose_links();
    backend_answer answer;
    answer.status = 200;
    answer.receipt = "r";
    links.exchange_ended(backend_server_id(5), {exchange_id(1), answer}, now);
    CHECK(links.lost());
}

TEST(server_reachability, links_are_back_once_most_probes_connect)
{
    lose_links();
    pass(600ms);
    reply({probe_result::accepted, probe_result::accepted,
           probe_result::refused, probe_result::refused});
    CHECK(links.lost());
    pass(600ms);
    reply({probe_result::accepted, probe_result::accepted,
           probe_result::accepted, probe_result::refused});
    CHECK(!links.lost());
}

TEST(server_reachability, rounds_that_connect_become_rare)
{
    std::size_t rounds = 0;
    for (int i = 0; i < 300; ++i) {
        for (std::uint64_t id = 1; id <= 6; ++id) {
            end(id, exchange_fault::connection_refused);
        }
        if (!probed.empty()) {
            ++rounds;
            reply({4, probe_result::accepted});
        }
        now += 100ms;
    }
    CHECK(rounds >= 2);
    CHECK(rounds <= 6);
}

TEST(server_reachability, failures_that_are_long_past_do_not_add_up)
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        end(id, exchange_fault::not_connected);
        now += 1500ms;
    }
    CHECK(probed.empty());
}
