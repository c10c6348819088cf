#include "systems/rates/token_waiters.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Maximum wait for a token: a few round trips between VMs. */
constexpr duration max_wait = 35ms;
/** Maximum number of waiting requests of one workspace. */
constexpr std::size_t max_queue = 32;

} // namespace

bool token_waiters::add(workspace_id workspace, const request_received& asked,
                        time_point now)
{
    auto& queue = m_queues[workspace];
    if (queue.size() >= max_queue) {
        return false;
    }
    queue.push_back({asked, now});
    return true;
}

std::optional<request_received> token_waiters::take(workspace_id workspace)
{
    const auto queue = m_queues.find(workspace);
    if (queue == m_queues.end()) {
        return std::nullopt;
    }
    request_received asked = std::move(queue->second.front().asked);
    queue->second.pop_front();
    if (queue->second.empty()) {
        m_queues.erase(queue);
    }
    return asked;
}

void token_waiters::put_back(workspace_id workspace,
                             const request_received& asked, time_point since)
{
    m_queues[workspace].push_front({asked, since});
}

std::vector<request_received> token_waiters::take_expired(time_point now)
{
    std::vector<request_received> expired;
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        auto& queue = it->second;
        while (!queue.empty() && now - queue.front().since >= max_wait) {
            expired.push_back(std::move(queue.front().asked));
            queue.pop_front();
        }
        it = queue.empty() ? m_queues.erase(it) : std::next(it);
    }
    return expired;
}

void token_waiters::remove(caller_token token)
{
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        auto& queue = it->second;
        queue.erase(std::remove_if(queue.begin(), queue.end(),
                                   [&](const waiter& w) {
                                       return w.asked.token == token;
                                   }),
                    queue.end());
        it = queue.empty() ? m_queues.erase(it) : std::next(it);
    }
}

std::vector<workspace_id> token_waiters::workspaces() const
{
    std::vector<workspace_id> ids;
    ids.reserve(m_queues.size());
    for (const auto& [workspace, queue] : m_queues) {
        ids.push_back(workspace);
    }
    return ids;
}

std::uint32_t token_waiters::count(workspace_id workspace) const
{
    const auto queue = m_queues.find(workspace);
    return queue == m_queues.end()
               ? 0
               : static_cast<std::uint32_t>(queue->second.size());
}

time_point token_waiters::since(workspace_id workspace) const
{
    const auto queue = m_queues.find(workspace);
    return queue == m_queues.end() ? time_point() : queue->second.front().since;
}

} // namespace cranberrywood
