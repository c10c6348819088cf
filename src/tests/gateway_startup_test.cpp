#include "fakes/starting_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;
using fakes::starting_fleet;
using fakes::store_condition;

namespace {

/** Targets of the page `docs/design/load-and-recovery.md`. */
constexpr duration ready_target = 300ms;
constexpr duration ready_target_without_store = 1500ms;

void start_all(starting_fleet& fleet)
{
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
}

constexpr std::size_t restarted = 50;

/** A fleet of 86 VMs that runs; VM 50 is about to start again. */
struct running_fleet
{
    explicit running_fleet(std::uint64_t seed) : fleet(86, seed, false)
    {
        start_all(fleet);
        fleet.run(3s);
        fleet.stop(restarted, false);
    }

    starting_fleet fleet;
};

} // namespace

TEST_GROUP(gateway_startup)
{
    /** Returns a request that no route of the configuration takes. */
    static request_received unknown_request()
    {
        request_received asked;
        asked.token = caller_token(1);
        asked.host = "a";
        asked.path = "/unknown";
        asked.outbound = std::make_shared<outbound_request>();
        return asked;
    }
    /** Returns the refusal of a request by a gateway. */
    static refused_answer refusal(gateway & core, const request_received& asked,
                                  time_point now)
    {
        const auto commands = core.handle(asked, now);
        return std::get<refused_answer>(
            std::get<answer_to_caller>(commands.back()).answer);
    }
    static gateway_settings settings()
    {
        gateway_settings s;
        s.member = {"10.0.0.9:7000", {"10.0.0.1:7000"}};
        return s;
    }
    static std::size_t lines(const gateway_commands& commands, log_code code)
    {
        std::size_t count = 0;
        for (const gateway_command& command : commands) {
            const auto* line = std::get_if<gateway_log>(&command);
            count += line != nullptr &&
                             line->code == static_cast<std::uint32_t>(code)
                         ? 1
                         : 0;
        }
        return count;
    }
    static servers_reported servers(std::size_t count)
    {
        servers_reported report;
        for (std::size_t i = 0; i < count; ++i) {
            backend_server_entry entry;
            entry.name = "s" + std::to_string(i);
            entry.id = backend_server_id(i + 1);
            entry.service = id_of<service_id>("1");
            report.entries.push_back(entry);
        }
        return report;
    }

    seeded_random random{3};
    time_point now{1h};
};

// Failure 1 of the page: VMs knew the fleet after 0.65 s and read the store
// only then, and every request of one second was refused.
TEST(gateway_startup, a_fleet_that_starts_at_once_is_ready_within_the_target)
{
    for (const std::size_t vms : {7U, 86U, 300U}) {
        starting_fleet fleet(vms, vms, false);
        start_all(fleet);
        fleet.run(ready_target);
        CHECK(fleet.slowest(startup_step::ready) < ready_target);
        CHECK(fleet.slowest(startup_step::confirmed) < ready_target);
        // Three seeds make the only linearizable calls.
        CHECK_EQUAL(6, fleet.store().linearizable_lists);
        CHECK_EQUAL(2 * (vms - 3), fleet.store().serializable_lists);
    }
}

// Tokens of a rate need the fleet; nothing changes for such a configuration.
TEST(gateway_startup,
     with_workspaces_a_vm_is_not_ready_before_it_knows_the_fleet)
{
    starting_fleet fleet(86, 4, true);
    start_all(fleet);
    fleet.run(900ms);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        CHECK_FALSE(fleet.core(vm).startup().has(startup_step::ready));
    }
    fleet.run(1500ms);
    CHECK(fleet.slowest(startup_step::ready) < 2400ms);
}

// The store answers nobody, and one seed is left; the machines of the others
// refuse connections or have no power. At 100 ms the seed has not noticed that
// the store is down; at 4 s it has, and its copy is not confirmed.
TEST(gateway_startup, without_the_store_one_reader_is_enough)
{
    for (const store_condition condition :
         {store_condition::refusing, store_condition::silent}) {
        for (const bool lost_power : {false, true}) {
            for (const duration down : {100ms, 4000ms}) {
                running_fleet running(11);
                starting_fleet& fleet = running.fleet;
                fleet.stop(0, lost_power);
                fleet.stop(1, lost_power);
                fleet.store().condition = condition;
                fleet.run(down);
                fleet.start(restarted);
                fleet.run(ready_target_without_store);
                const duration ready =
                    fleet.time_to(restarted, startup_step::ready);
                CHECK(ready > 0ms);
                CHECK(ready < ready_target_without_store);
            }
        }
    }
}

// Each call to a store that is down costs it something when it comes back.
TEST(gateway_startup, a_store_that_is_down_gets_two_lists_of_each_area)
{
    running_fleet running(12);
    starting_fleet& fleet = running.fleet;
    fleet.store().condition = store_condition::refusing;
    const std::size_t before = fleet.store().serializable_lists;
    fleet.start(restarted);
    fleet.run(4s);
    CHECK_EQUAL(before + 4, fleet.store().serializable_lists);
}

// The answers of all seeds but one break off.
TEST(gateway_startup, a_reader_that_ends_halfway_is_replaced_at_once)
{
    running_fleet running(13);
    starting_fleet& fleet = running.fleet;
    fleet.store().condition = store_condition::silent;
    for (const std::size_t whole : {0U, 1U, 2U}) {
        for (std::size_t seed = 0; seed < 3; ++seed) {
            fleet.break_answers(seed, seed == whole ? 0 : 1000);
        }
        fleet.start(restarted);
        fleet.run(200ms);
        const duration ready = fleet.time_to(restarted, startup_step::ready);
        CHECK(ready > 0ms);
        CHECK(ready < 100ms);
        fleet.stop(restarted, false);
    }
}

// A serializable list may lack a route or a key that exists: a caller told that
// it is unknown does not come back.
TEST(gateway_startup, what_is_not_found_is_refused_as_not_ready_until_confirmed)
{
    gateway core(settings(), random, now);
    auto read = std::make_shared<catalogue>();
    read->version = 3;
    workspace_entry desk;
    desk.id = workspace_id(5);
    desk.name = "desk";
    read->add_workspace(desk, {"key"});
    route keyed;
    keyed.name = "keyed";
    keyed.host = "a";
    keyed.prefix = "/keyed/";
    keyed.target = forward_target{{{id_of<service_id>("1"), 1}}};
    read->add_route(keyed);
    core.handle(catalogue_read{read}, now);
    core.handle(servers(3), now);
    request_received other_key = unknown_request();
    other_key.path = "/keyed/1";
    other_key.key = "other";
    for (const request_received& asked : {unknown_request(), other_key}) {
        const refused_answer early = refusal(core, asked, now);
        CHECK(early.why == refusal_reason::not_ready);
        CHECK(early.retry_after.has_value());
        CHECK(*early.retry_after <= 2s);
    }
    core.handle(store_state_confirmed{}, now);
    CHECK(refusal(core, unknown_request(), now).why ==
          refusal_reason::route_unknown);
    CHECK(refusal(core, other_key, now).why == refusal_reason::key_unknown);
}

// A query without servers would fail after its whole timeout.
TEST(gateway_startup, a_vm_without_servers_refuses_until_the_first_list)
{
    gateway core(settings(), random, now);
    auto read = std::make_shared<catalogue>();
    read->version = 3;
    route open;
    open.name = "open";
    open.host = "a";
    open.prefix = "/";
    open.open = true;
    open.timeout = 2s;
    open.target = forward_target{{{id_of<service_id>("1"), 1}}};
    read->add_route(open);
    core.handle(catalogue_read{read}, now);
    const refused_answer early = refusal(core, unknown_request(), now);
    CHECK(early.why == refusal_reason::not_ready);
    CHECK(*early.retry_after >= 300ms);
    core.handle(servers(3), now);
    const auto commands = core.handle(unknown_request(), now);
    for (const gateway_command& command : commands) {
        const auto* answer = std::get_if<answer_to_caller>(&command);
        const auto* refused =
            answer == nullptr ? nullptr
                              : std::get_if<refused_answer>(&answer->answer);
        CHECK(refused == nullptr || refused->why != refusal_reason::not_ready);
    }
}

TEST(gateway_startup, a_vm_that_knows_of_a_later_version_is_not_ready)
{
    gateway core(settings(), random, now);
    auto read = std::make_shared<catalogue>();
    read->version = 3;
    gateway_datagram heartbeat;
    heartbeat.fleet_size = 2;
    heartbeat.settings_version = 4;
    core.handle(datagram_received{"10.0.0.1:7000", heartbeat}, now);
    core.handle(catalogue_read{read}, now);
    core.handle(servers(3), now);
    CHECK_FALSE(core.is_ready(now));
    auto later = std::make_shared<catalogue>();
    later->version = 4;
    core.handle(catalogue_read{later}, now);
    CHECK(core.is_ready(now));
}

// 74 lines in 130 ms were written by a VM that learnt of 74 others.
TEST(gateway_startup, the_fleet_size_is_logged_once_it_is_steady)
{
    gateway core(settings(), random, now);
    std::size_t written = 0;
    for (std::uint32_t vm = 1; vm <= 74; ++vm) {
        gateway_datagram heartbeat;
        heartbeat.fleet_size = vm + 40;
        const auto from = "10.0.1." + std::to_string(vm) + ":7000";
        written += lines(core.handle(datagram_received{from, heartbeat}, now),
                         log_code::fleet_size_changed);
        now += 2ms;
    }
    // The share of the limits has changed once, from all to a part.
    CHECK(written <= 1);
    written = 0;
    for (int i = 0; i < 60; ++i) {
        now += 10ms;
        written += lines(core.tick(now), log_code::fleet_size_changed);
    }
    CHECK_EQUAL(1, written);
}

TEST(gateway_startup, the_first_list_of_servers_is_one_line)
{
    gateway core(settings(), random, now);
    CHECK_EQUAL(1,
                lines(core.handle(servers(300), now), log_code::server_listed));
    CHECK_EQUAL(2,
                lines(core.handle(servers(302), now), log_code::server_listed));
}

TEST(gateway_startup, each_step_of_the_start_is_logged_once)
{
    gateway core(settings(), random, now);
    auto read = std::make_shared<catalogue>();
    read->version = 3;
    std::size_t written = 0;
    for (int i = 0; i < 3; ++i) {
        for (const gateway_event& event :
             {gateway_event(catalogue_read{read}), gateway_event(servers(3)),
              gateway_event(store_state_confirmed{}),
              gateway_event(store_reachability_changed{true})}) {
            written +=
                lines(core.handle(event, now), log_code::startup_step_reached);
        }
        now += 50ms;
    }
    CHECK_EQUAL(4, written);
}
