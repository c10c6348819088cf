#include "systems/servers/limit_sharers.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

limit_sharers::limit_sharers(const member_directory& members)
    : m_members(members)
{
}

// A VM that does not know the whole fleet may take itself for a sharer where it
// is none.
std::optional<duration> limit_sharers::spacing(backend_server_id server,
                                               double per_second, double most,
                                               time_point now)
{
    const double vms = m_members.fleet_size(now);
    const double sharers = std::min(vms, std::floor(most));
    if (per_second <= 0.0 || !m_members.knows_all(now) ||
        !includes_self(server, static_cast<std::size_t>(sharers))) {
        return std::nullopt;
    }
    const double used = per_second * m_members.usable_share(now);
    constexpr double longest_s = 3600.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(sharers / used, longest_s)));
}

// Ranking sorts all VMs, so its result is kept until they or the count change.
bool limit_sharers::includes_self(backend_server_id server, std::size_t count)
{
    ranked& r = m_ranked[server];
    if (r.count != count || r.members != m_members.version()) {
        const auto first = m_members.ranked(server.value(), count);
        r.included = std::find(first.begin(), first.end(), m_members.self()) !=
                     first.end();
        r.count = count;
        r.members = m_members.version();
    }
    return r.included;
}

void limit_sharers::forget(backend_server_id server)
{
    m_ranked.erase(server);
}

} // namespace cranberrywood
