#include "tests/standins/standin_server.hpp"

#include <algorithm>

namespace cranberrywood::standins {

namespace {

/** Requests that may wait at a warm server, per slot. */
constexpr std::uint32_t waiting_per_slot = 4;
/** Body text of a request that kills the server. */
constexpr const char* killer = "crash!";
constexpr std::uint64_t million = 1'000'000;
/** Bodies that are counted one by one. */
constexpr std::size_t max_counted_bodies = 10'000;

} // namespace

standin_server::standin_server(const backend_server_settings& self,
                               const service_settings& service,
                               const shard_settings& shard,
                               const work_settings& work, std::uint64_t seed)
    : m_self(self), m_service(service), m_shard(shard), m_work(work),
      m_random(seed ^ self.id.value()), m_oldest(service.index),
      m_newest(service.index)
{
    restart();
}

bool standin_server::cold() const
{
    return m_completed_since_start < m_work.warm_after;
}

bool standin_server::connect(connection from)
{
    if (!m_up || m_connections.size() >= m_service.connections) {
        ++m_counts.refused_connections;
        return false;
    }
    m_connections.push_back(from);
    const auto open = static_cast<std::uint32_t>(m_connections.size());
    m_counts.peak_connections = std::max(m_counts.peak_connections, open);
    return true;
}

time_point standin_server::greeting_time(time_point now)
{
    m_accepting_until =
        std::max(now, m_accepting_until) + m_service.connection_cost;
    return m_accepting_until;
}

backend_hello standin_server::hello() const
{
    return {m_process, m_oldest, m_newest, m_draining};
}

void standin_server::disconnect(connection from)
{
    m_connections.erase(
        std::remove(m_connections.begin(), m_connections.end(), from),
        m_connections.end());
    m_waiting.erase(
        std::remove_if(m_waiting.begin(), m_waiting.end(),
                       [from](const waiting& w) { return w.from == from; }),
        m_waiting.end());
}

std::optional<standin_server::reply>
standin_server::take(connection from, const backend_request& request,
                     time_point now)
{
    if (m_draining) {
        return reply{from, answer(request, backend_outcome::draining)};
    }
    if (request.index < m_oldest || m_newest < request.index ||
        request.map != m_service.map) {
        return reply{from, answer(request, backend_outcome::version_gone)};
    }
    if (cold() && m_running.size() + m_waiting.size() >= m_service.cold_limit) {
        ++m_counts.fall_overs;
        die();
        return std::nullopt;
    }
    if (m_running.size() < m_service.slots) {
        run(from, request, now);
        return std::nullopt;
    }
    if (m_waiting.size() >= std::size_t{m_service.slots} * waiting_per_slot) {
        ++m_counts.shed;
        return reply{from, answer(request, backend_outcome::shed)};
    }
    m_waiting.push_back({from, request, now + request.time_left});
    return std::nullopt;
}

void standin_server::run(connection from, const backend_request& request,
                         time_point now)
{
    ++m_counts.runs;
    if (m_runs_by_body.size() < max_counted_bodies) {
        ++m_runs_by_body[request.body];
    }
    if (request.body.find(killer) != std::string::npos) {
        ++m_counts.crashes;
        die();
        return;
    }
    m_running.push_back({from, request, now + work_time()});
    const auto at_once = static_cast<std::uint32_t>(m_running.size());
    m_counts.peak_running = std::max(m_counts.peak_running, at_once);
}

duration standin_server::work_time()
{
    if (m_random.below(million) < m_work.straggler_ppm) {
        return m_work.straggler;
    }
    const auto spread = static_cast<std::uint64_t>(m_work.spread.count());
    return m_work.shortest +
           duration(static_cast<duration::rep>(m_random.below(spread + 1)));
}

std::optional<standin_server::reply>
standin_server::cancel(const backend_cancel& cancel)
{
    const auto at =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting& w) {
            return w.request.id == cancel.id;
        });
    if (at == m_waiting.end()) {
        return std::nullopt;
    }
    ++m_counts.cancelled;
    reply r{at->from, answer(at->request, backend_outcome::cancelled)};
    m_waiting.erase(at);
    return r;
}

std::vector<standin_server::reply> standin_server::finish(time_point now)
{
    std::vector<reply> replies;
    for (const running& r : m_running) {
        if (r.ends <= now) {
            replies.push_back(
                {r.from, answer(r.request, backend_outcome::done)});
        }
    }
    m_running.erase(
        std::remove_if(m_running.begin(), m_running.end(),
                       [now](const running& r) { return r.ends <= now; }),
        m_running.end());
    m_completed_since_start += static_cast<std::uint32_t>(replies.size());
    m_counts.completed += replies.size();
    run_waiting(now, replies);
    return replies;
}

// A request whose deadline has passed while it waited is not run.
void standin_server::run_waiting(time_point now, std::vector<reply>& replies)
{
    while (m_up && m_running.size() < m_service.slots && !m_waiting.empty()) {
        const waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (next.deadline <= now) {
            ++m_counts.late;
            replies.push_back(
                {next.from, answer(next.request, backend_outcome::cancelled)});
            continue;
        }
        run(next.from, next.request, now);
    }
}

std::optional<time_point> standin_server::next_end() const
{
    if (m_running.empty()) {
        return std::nullopt;
    }
    return std::min_element(m_running.begin(), m_running.end(),
                            [](const running& a, const running& b) {
                                return a.ends < b.ends;
                            })
        ->ends;
}

void standin_server::die()
{
    m_up = false;
    m_running.clear();
    m_waiting.clear();
    m_connections.clear();
}

void standin_server::restart()
{
    m_process = incarnation(m_random.next() | 1U);
    m_completed_since_start = 0;
    m_up = true;
}

void standin_server::drain(bool on)
{
    m_draining = on;
}

void standin_server::hold_versions(index_version oldest, index_version newest)
{
    m_oldest = oldest;
    m_newest = newest;
}

backend_reply standin_server::answer(const backend_request& request,
                                     backend_outcome outcome) const
{
    backend_reply r;
    r.id = request.id;
    r.outcome = outcome;
    r.index = request.index;
    r.oldest = m_oldest;
    r.newest = m_newest;
    if (outcome == backend_outcome::done) {
        // Scores fall with the place of the shard in the key space, so that
        // merged answers are the same on every run.
        const auto first = m_shard.keys.first;
        r.hits.push_back({std::to_string(first),
                          1.0 / (1.0 + static_cast<double>(first)),
                          m_shard.name + ": " + request.body});
    }
    return r;
}

} // namespace cranberrywood::standins
