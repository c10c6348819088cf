#ifndef CRANBERRYWOOD_TESTS_FAKES_FAKE_BACKEND_SERVER_HPP
#define CRANBERRYWOOD_TESTS_FAKES_FAKE_BACKEND_SERVER_HPP

#include "core/messages.hpp"
#include "core/random_source.hpp"
#include "settings/settings.hpp"

#include <deque>
#include <map>
#include <optional>

namespace cranberrywood::fakes {

/** One request that a fake backend server started to run. */
struct execution
{
    time_point at;
    backend_server_id server;
    vm_id owner;
    backend_request request;
    /** The server died or was cancelled before it replied. */
    bool completed = false;
};

/**
 * A backend server: slots, a short queue, a cold start that it does not
 * survive above its cold limit, index versions, and a request that kills it.
 */
class fake_backend_server
{
public:
    /** Reply of the server and the VM that gets it. */
    struct reply
    {
        vm_id to;
        backend_reply body;
    };

    fake_backend_server(const backend_server_settings& self,
                        const service_settings& service, incarnation process);

    /** Starts a new, cold process. */
    void restart(incarnation process);
    /** Ends the process; requests that run are never answered. */
    void die();
    bool up() const
    {
        return m_up;
    }
    /** Drops the requests of an owner whose link was lost. */
    void forget(vm_id owner);
    void hold_versions(index_version oldest, index_version newest);
    backend_hello hello() const;

    /** Takes a request; returns the reply when it is refused at once. */
    std::optional<reply> take(vm_id from, const backend_request& request,
                              time_point now, random_source& random,
                              std::vector<execution>& log);
    /** Takes a cancellation. */
    std::optional<reply> cancel(vm_id from, const backend_cancel& cancel);
    /** Returns the replies of requests that end by now. */
    std::vector<reply> finish(time_point now, random_source& random,
                              std::vector<execution>& log);
    /** Returns when the next running request ends. */
    std::optional<time_point> next_end() const;

    /** Deaths by more load than a cold process bears. */
    std::uint32_t fall_overs() const
    {
        return m_fall_overs;
    }
    /** Deaths by a request that kills the server. */
    std::uint32_t crashes() const
    {
        return m_crashes;
    }
    /** Makes every request take this much longer. */
    void slow_down(duration extra)
    {
        m_extra = extra;
    }

private:
    struct running
    {
        vm_id owner;
        backend_request request;
        time_point ends;
        std::size_t logged = 0;
    };

    backend_reply reply_to(const backend_request& request,
                           backend_outcome outcome) const;
    void run(vm_id from, const backend_request& request, time_point now,
             random_source& random, std::vector<execution>& log);

    backend_server_id m_id;
    service_settings m_service;
    incarnation m_process;
    bool m_up = true;
    index_version m_oldest;
    index_version m_newest;
    std::uint32_t m_completed = 0;
    std::uint32_t m_fall_overs = 0;
    std::uint32_t m_crashes = 0;
    duration m_extra{0};
    std::vector<running> m_running;
    std::deque<std::pair<vm_id, backend_request>> m_waiting;
};

} // namespace cranberrywood::fakes

#endif
