#include "fakes/fake_backend_server.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

namespace {

using namespace std::chrono_literals;

/** Completed requests after which a process is warm. */
constexpr std::uint32_t warm_after = 8;
/** Requests that may wait at a warm server, per slot. */
constexpr std::uint32_t waiting_per_slot = 4;
constexpr duration shortest_work = 1ms;
constexpr std::uint64_t work_spread_ns = 4'000'000;
/** Body text of a request that kills the server. */
constexpr const char* killer = "crash!";

} // namespace

fake_backend_server::fake_backend_server(const backend_server_settings& self,
                                         const service_settings& service,
                                         incarnation process)
    : m_id(self.id), m_service(service), m_process(process),
      m_oldest(service.index), m_newest(service.index)
{
}

void fake_backend_server::restart(incarnation process)
{
    die();
    m_process = process;
    m_up = true;
    m_completed = 0;
}

void fake_backend_server::die()
{
    m_up = false;
    m_running.clear();
    m_waiting.clear();
}

void fake_backend_server::forget(vm_id owner)
{
    m_waiting.erase(
        std::remove_if(m_waiting.begin(), m_waiting.end(),
                       [owner](const auto& w) { return w.first == owner; }),
        m_waiting.end());
}

void fake_backend_server::hold_versions(index_version oldest,
                                        index_version newest)
{
    m_oldest = oldest;
    m_newest = newest;
}

backend_hello fake_backend_server::hello() const
{
    return {m_process, m_oldest, m_newest, false};
}

backend_reply fake_backend_server::reply_to(const backend_request& request,
                                            backend_outcome outcome) const
{
    backend_reply r;
    r.id = request.id;
    r.outcome = outcome;
    r.index = request.index;
    r.oldest = m_oldest;
    r.newest = m_newest;
    if (outcome == backend_outcome::done) {
        const auto shard = std::to_string(request.shard.value());
        r.hits.push_back(
            {shard + ":" + request.body, 1.0,
             request.body + "@" + std::to_string(request.index.value())});
    }
    return r;
}

std::optional<fake_backend_server::reply>
fake_backend_server::take(vm_id from, const backend_request& request,
                          time_point now, random_source& random,
                          std::vector<execution>& log)
{
    if (request.index < m_oldest || request.index > m_newest) {
        return reply{from, reply_to(request, backend_outcome::version_gone)};
    }
    const bool cold = m_completed < warm_after;
    const std::size_t load = m_running.size() + m_waiting.size();
    if (cold && load >= m_service.cold_limit) {
        ++m_fall_overs;
        die();
        return std::nullopt;
    }
    if (m_running.size() < m_service.slots) {
        run(from, request, now, random, log);
        return std::nullopt;
    }
    if (m_waiting.size() >= m_service.slots * waiting_per_slot) {
        return reply{from, reply_to(request, backend_outcome::shed)};
    }
    m_waiting.emplace_back(from, request);
    return std::nullopt;
}

void fake_backend_server::run(vm_id from, const backend_request& request,
                              time_point now, random_source& random,
                              std::vector<execution>& log)
{
    log.push_back({now, m_id, from, request, false});
    if (request.body.find(killer) != std::string::npos) {
        ++m_crashes;
        die();
        return;
    }
    const duration work =
        shortest_work +
        duration(static_cast<duration::rep>(random.below(work_spread_ns)));
    m_running.push_back({from, request, now + work + m_extra, log.size() - 1});
}

std::optional<fake_backend_server::reply>
fake_backend_server::cancel(vm_id from, const backend_cancel& cancel)
{
    const auto waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [&](const auto& w) { return w.second.id == cancel.id; });
    if (waiting == m_waiting.end()) {
        return std::nullopt;
    }
    const backend_request request = waiting->second;
    m_waiting.erase(waiting);
    return reply{from, reply_to(request, backend_outcome::cancelled)};
}

std::vector<fake_backend_server::reply>
fake_backend_server::finish(time_point now, random_source& random,
                            std::vector<execution>& log)
{
    std::vector<reply> replies;
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (it->ends > now) {
            ++it;
            continue;
        }
        log[it->logged].completed = true;
        replies.push_back(
            {it->owner, reply_to(it->request, backend_outcome::done)});
        it = m_running.erase(it);
        ++m_completed;
    }
    while (m_up && m_running.size() < m_service.slots && !m_waiting.empty()) {
        const auto [from, request] = m_waiting.front();
        m_waiting.pop_front();
        run(from, request, now, random, log);
    }
    return replies;
}

std::optional<time_point> fake_backend_server::next_end() const
{
    if (m_running.empty()) {
        return std::nullopt;
    }
    return std::min_element(
               m_running.begin(), m_running.end(),
               [](const auto& a, const auto& b) { return a.ends < b.ends; })
        ->ends;
}

} // namespace cranberrywood::fakes
