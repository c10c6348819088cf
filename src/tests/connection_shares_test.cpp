#include "systems/servers/connection_shares.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t fleet_vms = 86;
constexpr std::uint32_t server_connections = 85;
constexpr std::size_t shard_servers = 3;
/** Sub-requests a second to one shard: 90 full and 30 urgent queries. */
constexpr double shard_rate = 120.0;

enum class keep_rule : std::uint8_t
{
    shares,
    /** Kept for 8 s, as before the shares were introduced. */
    always,
};

enum class use_of_servers : std::uint8_t
{
    /** Each server is used by every VM alike. */
    alike,
    /** Nine in ten sends go to the server of the own data centre. */
    own_first,
};

struct idle_connection
{
    time_point since;
    time_point until;
};

struct modelled_vm
{
    connection_shares shares;
    std::vector<std::vector<idle_connection>> idle{shard_servers};
    std::vector<std::uint32_t> in_flight = std::vector<std::uint32_t>(3);
};

/** What one server sees, at worst. */
struct server_load
{
    std::size_t most_idle = 0;
    std::size_t most_open = 0;
    std::uint64_t sends = 0;
    std::uint64_t opened = 0;
};

/** The VMs of a fleet that send to the three servers of one shard. */
class modelled_fleet
{
public:
    modelled_fleet(keep_rule rule, use_of_servers use)
        : m_rule(rule), m_use(use), m_vms(fleet_vms), m_running(fleet_vms)
    {
    }

    /** Sends for a time; servers hold `held` connections from before. */
    server_load run(duration time, std::size_t held = 0)
    {
        server_load load;
        const time_point end = m_now + time;
        std::exponential_distribution<double> gap(shard_rate);
        while (m_now < end) {
            m_now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(m_random)));
            finish_answers();
            send(load);
            for (std::size_t s = 0; s < shard_servers; ++s) {
                load.most_idle = std::max(load.most_idle, idle_at(s));
                load.most_open = std::max(load.most_open,
                                          idle_at(s) + in_flight_at(s) + held);
            }
        }
        return load;
    }
    std::size_t open_at_busiest()
    {
        std::size_t most = 0;
        for (std::size_t s = 0; s < shard_servers; ++s) {
            most = std::max(most, idle_at(s) + in_flight_at(s));
        }
        return most;
    }
    /** All VMs lose their memory. */
    void restart()
    {
        m_vms = std::vector<modelled_vm>(fleet_vms);
        m_answers = {};
    }
    /** Only the first VMs go on; the fleet's size is known. */
    void end_all_but(std::uint32_t vms)
    {
        m_running = vms;
        m_vms.resize(vms);
        m_answers = {};
        for (modelled_vm& vm : m_vms) {
            vm.in_flight.assign(shard_servers, 0);
        }
    }

private:
    struct pending
    {
        time_point at;
        std::uint32_t vm;
        std::size_t server;
        connection_keep keep;
        bool operator<(const pending& other) const
        {
            return at > other.at;
        }
    };

    static backend_server_id id_of_server(std::size_t server)
    {
        return backend_server_id(server + 1);
    }
    std::size_t choose_server(std::uint32_t vm)
    {
        const std::size_t any = m_random() % shard_servers;
        const bool own =
            m_use == use_of_servers::own_first && m_random() % 10 != 0;
        return own ? vm % shard_servers : any;
    }
    void send(server_load& load)
    {
        const auto vm = static_cast<std::uint32_t>(m_random() % m_running);
        modelled_vm& own = m_vms[vm];
        const std::size_t server = choose_server(vm);
        ++load.sends;
        own.shares.sent(service_id(1), id_of_server(server), m_now);
        drop_idle(own.idle[server]);
        if (own.idle[server].empty()) {
            ++load.opened;
        } else {
            own.idle[server].pop_back();
        }
        ++own.in_flight[server];
        const connection_limits limits{server_connections, m_running,
                                       shard_servers};
        const connection_keep keep =
            m_rule == keep_rule::always
                ? connection_keep()
                : own.shares.keep(service_id(1), id_of_server(server), limits,
                                  m_now);
        std::uniform_int_distribution<int> work_ms(10, 46);
        m_answers.push({m_now + std::chrono::milliseconds(work_ms(m_random)),
                        vm, server, keep});
    }
    void finish_answers()
    {
        while (!m_answers.empty() && m_answers.top().at <= m_now) {
            const pending done = m_answers.top();
            m_answers.pop();
            modelled_vm& vm = m_vms[done.vm];
            --vm.in_flight[done.server];
            drop_idle(vm.idle[done.server]);
            if (vm.idle[done.server].size() < done.keep.most) {
                const duration kept = std::min<duration>(8s, done.keep.idle);
                vm.idle[done.server].push_back({done.at, done.at + kept});
            }
        }
    }
    void drop_idle(std::vector<idle_connection>& idle) const
    {
        idle.erase(
            std::remove_if(idle.begin(), idle.end(),
                           [&](const auto& c) { return c.until <= m_now; }),
            idle.end());
    }
    std::size_t idle_at(std::size_t server)
    {
        std::size_t count = 0;
        for (modelled_vm& vm : m_vms) {
            drop_idle(vm.idle[server]);
            count += vm.idle[server].size();
        }
        return count;
    }
    std::size_t in_flight_at(std::size_t server) const
    {
        std::size_t count = 0;
        for (const modelled_vm& vm : m_vms) {
            count += vm.in_flight[server];
        }
        return count;
    }

    keep_rule m_rule;
    use_of_servers m_use;
    std::vector<modelled_vm> m_vms;
    std::uint32_t m_running;
    std::priority_queue<pending> m_answers;
    std::mt19937 m_random{20261204};
    time_point m_now{1h};
};

constexpr std::size_t half_of_connections = server_connections / 2;

} // namespace

TEST_GROUP(connection_shares)
{
    connection_shares shares;
    time_point now{1h};
    const backend_server_id first{1};
    const backend_server_id second{2};
    const service_id service{5};
    const connection_limits fleet{server_connections, fleet_vms, shard_servers};
};

TEST(connection_shares, each_vm_may_have_a_request_in_flight)
{
    CHECK_EQUAL(1U, connection_shares::most_in_flight(fleet));
    CHECK_EQUAL(6U, connection_shares::most_in_flight({580, 86, 1}));
}

// Deployments with connections for all VMs are served as before.
TEST(connection_shares, connections_are_kept_where_there_are_plenty)
{
    shares.sent(service, first, now);
    const connection_keep keep = shares.keep(service, first, {580, 86, 3}, now);
    CHECK(keep.idle == duration::max());
    CHECK(keep.most > 100);
}

// A connection that was opened for one hedge was held for 8 s.
TEST(connection_shares, a_connection_to_a_rarely_used_server_is_soon_closed)
{
    for (int i = 0; i < 40; ++i) {
        shares.sent(service, first, now);
        now += 500ms;
    }
    shares.sent(service, second, now);
    CHECK(shares.keep(service, second, fleet, now).idle <= 200ms);
    const connection_keep often = shares.keep(service, first, fleet, now);
    CHECK(often.idle >= 1s);
    CHECK_EQUAL(1U, often.most);
}

TEST(connection_shares, half_of_the_connections_stay_free_of_idle_ones)
{
    for (const auto use : {use_of_servers::alike, use_of_servers::own_first}) {
        modelled_fleet fleet_of(keep_rule::shares, use);
        const server_load load = fleet_of.run(60s);
        CHECK(load.most_idle <= half_of_connections);
        CHECK(load.most_open <= server_connections);
    }
    // The same load exceeds the limit if all connections are kept.
    modelled_fleet before(keep_rule::always, use_of_servers::alike);
    const server_load load = before.run(60s);
    CHECK(load.most_idle > half_of_connections);
    CHECK(load.most_open > server_connections);
}

TEST(connection_shares, most_sends_to_the_own_server_reuse_a_connection)
{
    modelled_fleet fleet_of(keep_rule::shares, use_of_servers::own_first);
    fleet_of.run(10s);
    const server_load load = fleet_of.run(60s);
    // Six sends in a hundred go to a server that the VM rarely uses.
    CHECK(load.opened * 100 <= load.sends * 20);
}

// Servers hold the connections of a fleet that lost power for 8 s more.
TEST(connection_shares, a_fleet_that_restarts_finds_room_beside_its_old_ones)
{
    for (const auto use : {use_of_servers::alike, use_of_servers::own_first}) {
        modelled_fleet fleet_of(keep_rule::shares, use);
        fleet_of.run(30s);
        const std::size_t held = fleet_of.open_at_busiest();
        fleet_of.restart();
        const server_load load = fleet_of.run(8s, held);
        CHECK(load.most_open <= server_connections);
    }
}

// The share of VMs that ended is used by the others.
TEST(connection_shares, vms_that_end_leave_their_share_to_the_others)
{
    modelled_fleet fleet_of(keep_rule::shares, use_of_servers::alike);
    fleet_of.run(20s);
    const server_load all = fleet_of.run(60s);
    fleet_of.end_all_but(43);
    fleet_of.run(20s);
    const server_load half = fleet_of.run(60s);
    CHECK(half.most_idle <= half_of_connections);
    CHECK(half.opened * all.sends < all.opened * half.sends * 3 / 4);
}

// Servers reset 2,137 connections in one run, as VMs opened further ones.
TEST(connection_shares, no_connection_is_opened_for_a_while_after_a_reset)
{
    CHECK(shares.may_open(first, now));
    CHECK(shares.over_limit(first, now));
    CHECK_FALSE(shares.may_open(first, now + 499ms));
    CHECK(shares.may_open(second, now));
    CHECK(shares.may_open(first, now + 500ms));
    now += 600ms;
    shares.over_limit(first, now);
    CHECK_FALSE(shares.may_open(first, now + 999ms));
    CHECK(shares.may_open(first, now + 1s));
    now += 20s;
    shares.over_limit(first, now);
    CHECK(shares.may_open(first, now + 500ms));
}

TEST(connection_shares, resets_are_told_once_a_second_for_each_server)
{
    int told = 0;
    for (int i = 0; i < 100; ++i) {
        told += shares.over_limit(first, now) ? 1 : 0;
        now += 40ms;
    }
    CHECK_EQUAL(4, told);
    CHECK(shares.over_limit(second, now));
}
