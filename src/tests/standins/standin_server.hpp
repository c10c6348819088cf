#ifndef CRANBERRYWOOD_TESTS_STANDINS_STANDIN_SERVER_HPP
#define CRANBERRYWOOD_TESTS_STANDINS_STANDIN_SERVER_HPP

#include "core/messages.hpp"
#include "core/random_source.hpp"
#include "settings/settings.hpp"
#include "tests/standins/standin_settings.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cranberrywood::standins {

/** What one backend server has seen. */
struct server_counts
{
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t late = 0;
    std::uint64_t fall_overs = 0;
    std::uint64_t crashes = 0;
    std::uint64_t refused_connections = 0;
    std::uint32_t peak_running = 0;
    std::uint32_t peak_connections = 0;
};

/**
 * One backend server without its sockets: slots, a short queue, a cold start
 * that it does not survive above its cold limit, stragglers, index versions,
 * draining, and a request that kills it.
 */
class standin_server
{
public:
    /** Numbers the connections of this server. */
    using connection = std::int64_t;

    struct reply
    {
        connection to = 0;
        backend_reply body;
    };

    standin_server(const backend_server_settings& self,
                   const service_settings& service, const shard_settings& shard,
                   const work_settings& work, std::uint64_t seed);

    const backend_server_settings& self() const
    {
        return m_self;
    }
    const service_settings& service() const
    {
        return m_service;
    }
    const server_counts& counts() const
    {
        return m_counts;
    }
    /** Runs of each request body of this server. */
    const std::map<std::string, std::uint64_t>& runs_by_body() const
    {
        return m_runs_by_body;
    }
    bool up() const
    {
        return m_up;
    }

    /** Takes in a connection; returns false when the limit is reached. */
    bool connect(connection from);
    /** Returns when the server has time to greet a connection. */
    time_point greeting_time(time_point now);
    backend_hello hello() const;
    void disconnect(connection from);

    /** Takes a request; returns the reply when it is refused at once. */
    std::optional<reply> take(connection from, const backend_request& request,
                              time_point now);
    std::optional<reply> cancel(const backend_cancel& cancel);
    /** Returns the replies of requests that end by now. */
    std::vector<reply> finish(time_point now);
    /** Returns when the next running request ends. */
    std::optional<time_point> next_end() const;

    void die();
    void restart();
    void drain(bool on);
    void hold_versions(index_version oldest, index_version newest);

private:
    struct running
    {
        connection from = 0;
        backend_request request;
        time_point ends;
    };
    struct waiting
    {
        connection from = 0;
        backend_request request;
        time_point deadline;
    };

    bool cold() const;
    backend_reply answer(const backend_request& request,
                         backend_outcome outcome) const;
    void run(connection from, const backend_request& request, time_point now);
    void run_waiting(time_point now, std::vector<reply>& replies);
    duration work_time();

    backend_server_settings m_self;
    service_settings m_service;
    shard_settings m_shard;
    work_settings m_work;
    seeded_random m_random;
    incarnation m_process;
    index_version m_oldest;
    index_version m_newest;
    bool m_up = true;
    bool m_draining = false;
    std::uint32_t m_completed_since_start = 0;
    time_point m_accepting_until;
    std::vector<connection> m_connections;
    std::vector<running> m_running;
    std::deque<waiting> m_waiting;
    server_counts m_counts;
    std::map<std::string, std::uint64_t> m_runs_by_body;
};

} // namespace cranberrywood::standins

#endif
