#include "systems/rates/token_waiters.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Longest wait for a token: a few round trips between VMs. */
constexpr duration longest_wait = 35ms;
/** Requests of one workspace that may wait. */
constexpr std::size_t most_waiting = 32;

} // namespace

bool token_waiters::add(workspace_id workspace, const caller_asked& asked,
                        time_point now)
{
    auto& line = m_lines[workspace];
    if (line.size() >= most_waiting) {
        return false;
    }
    line.push_back({asked, now});
    return true;
}

std::optional<caller_asked> token_waiters::take(workspace_id workspace)
{
    const auto line = m_lines.find(workspace);
    if (line == m_lines.end()) {
        return std::nullopt;
    }
    caller_asked asked = std::move(line->second.front().asked);
    line->second.pop_front();
    if (line->second.empty()) {
        m_lines.erase(line);
    }
    return asked;
}

void token_waiters::put_back(workspace_id workspace, const caller_asked& asked,
                             time_point since)
{
    m_lines[workspace].push_front({asked, since});
}

std::vector<caller_asked> token_waiters::take_expired(time_point now)
{
    std::vector<caller_asked> late;
    for (auto it = m_lines.begin(); it != m_lines.end();) {
        auto& line = it->second;
        while (!line.empty() && now - line.front().since >= longest_wait) {
            late.push_back(std::move(line.front().asked));
            line.pop_front();
        }
        it = line.empty() ? m_lines.erase(it) : std::next(it);
    }
    return late;
}

void token_waiters::remove(caller_token token)
{
    for (auto it = m_lines.begin(); it != m_lines.end();) {
        auto& line = it->second;
        line.erase(std::remove_if(
                       line.begin(), line.end(),
                       [&](const waiter& w) { return w.asked.token == token; }),
                   line.end());
        it = line.empty() ? m_lines.erase(it) : std::next(it);
    }
}

std::vector<workspace_id> token_waiters::workspaces() const
{
    std::vector<workspace_id> ids;
    ids.reserve(m_lines.size());
    for (const auto& [workspace, line] : m_lines) {
        ids.push_back(workspace);
    }
    return ids;
}

std::uint32_t token_waiters::count(workspace_id workspace) const
{
    const auto line = m_lines.find(workspace);
    return line == m_lines.end()
               ? 0
               : static_cast<std::uint32_t>(line->second.size());
}

time_point token_waiters::since(workspace_id workspace) const
{
    const auto line = m_lines.find(workspace);
    return line == m_lines.end() ? time_point() : line->second.front().since;
}

} // namespace cranberrywood
