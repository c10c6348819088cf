#ifndef CRANBERRYWOOD_TESTS_BENCH_MODEL_SERVER_HPP
#define CRANBERRYWOOD_TESTS_BENCH_MODEL_SERVER_HPP

#include "core/messages.hpp"
#include "core/random_source.hpp"
#include "settings/settings.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace cranberrywood::bench {

/** How the backend servers of a run behave. */
struct server_behaviour
{
    duration mean_work = std::chrono::milliseconds(8);
    /** Share of requests, in thousandths, that straggle. */
    std::uint32_t straggler_permille = 0;
    /** How many times longer a straggling request takes. */
    double straggler_factor = 10.0;
    /** How many times longer a cold process takes. */
    double cold_factor = 2.0;
    /** Completed requests after which a process is warm. */
    std::uint32_t warm_after = 60;
    /** Requests that may wait at a warm server. */
    std::uint32_t waiting_limit = 4;
};

/** Backend server with slots, stragglers and a cold start. */
class model_server
{
public:
    /** A request that was started, and how long it takes. */
    struct started
    {
        sub_request_id id;
        duration work{0};
    };

    model_server(const service_settings& service,
                 const server_behaviour& behaviour, random_source& random)
        : m_service(service), m_behaviour(behaviour), m_random(random)
    {
    }

    std::uint64_t process = 1;
    bool up = true;
    double slow_factor = 1.0;
    std::uint32_t fall_overs = 0;

    bool cold() const
    {
        return m_completed < m_behaviour.warm_after;
    }
    void make_warm()
    {
        m_completed = m_behaviour.warm_after;
    }
    void die()
    {
        up = false;
        m_running.clear();
        m_waiting.clear();
    }
    void restart()
    {
        up = true;
        ++process;
        m_completed = 0;
    }
    /** Takes a request. Returns whether the server has room for it. */
    bool take(sub_request_id id)
    {
        const std::size_t load = m_running.size() + m_waiting.size();
        if (cold() && load >= m_service.cold_limit) {
            ++fall_overs;
            die();
            return true;
        }
        if (load >= m_service.slots + m_behaviour.waiting_limit) {
            return false;
        }
        m_waiting.push_back(id);
        return true;
    }
    /** Starts what has a free slot. */
    std::vector<started> start()
    {
        std::vector<started> all;
        while (up && m_running.size() < m_service.slots && !m_waiting.empty()) {
            const sub_request_id id = m_waiting.front();
            m_waiting.pop_front();
            m_running.push_back(id);
            all.push_back({id, draw_work()});
        }
        return all;
    }
    /** Ends a request; returns whether it was running. */
    bool finish(sub_request_id id)
    {
        const auto found = std::find(m_running.begin(), m_running.end(), id);
        if (found == m_running.end()) {
            return false;
        }
        m_running.erase(found);
        ++m_completed;
        return true;
    }
    /** Stops a request; returns whether it was waiting or running. */
    bool cancel(sub_request_id id)
    {
        const auto before = m_running.size() + m_waiting.size();
        m_running.erase(std::remove(m_running.begin(), m_running.end(), id),
                        m_running.end());
        m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), id),
                        m_waiting.end());
        return m_running.size() + m_waiting.size() < before;
    }

private:
    // Half of the work is constant, half of it exponentially distributed.
    duration draw_work()
    {
        constexpr std::uint64_t steps = 1U << 20U;
        const double u = (static_cast<double>(m_random.below(steps)) + 0.5) /
                         static_cast<double>(steps);
        double factor = (0.5 - 0.5 * std::log(u)) * slow_factor;
        if (m_random.below(1000) < m_behaviour.straggler_permille) {
            factor *= m_behaviour.straggler_factor;
        }
        if (cold()) {
            factor *= m_behaviour.cold_factor;
        }
        return duration(static_cast<duration::rep>(
            factor * static_cast<double>(m_behaviour.mean_work.count())));
    }

    const service_settings& m_service;
    const server_behaviour& m_behaviour;
    random_source& m_random;
    std::uint32_t m_completed = 0;
    std::vector<sub_request_id> m_running;
    std::deque<sub_request_id> m_waiting;
};

} // namespace cranberrywood::bench

#endif
