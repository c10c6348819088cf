#include "systems/members/relay_peers.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time for which a peer that has no room is avoided. */
constexpr duration declined_pause = 20ms;
/** Time for which a peer that cannot be reached is avoided. */
constexpr duration unreachable_pause = 1s;
/** Time for which the list of peers that accept relays is used. */
constexpr duration candidates_life = 100ms;
/** Usable peers that are compared, and draws made to find them. */
constexpr std::size_t compared_peers = 2;
constexpr std::size_t max_draws = 8;

} // namespace

relay_peers::relay_peers(member_directory& members, random_source& random)
    : m_members(members), m_random(random)
{
}

void relay_peers::received(const std::string& from, bool accepts_relays)
{
    peer_state& state = m_peers[from];
    if (state.accepts != accepts_relays) {
        state.accepts = accepts_relays;
        m_refresh_at = time_point();
    }
}

bool relay_peers::accepts(const std::string& peer, const peer_state& state,
                          time_point now) const
{
    return state.accepts && m_members.is_live(peer, now);
}

bool relay_peers::available(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return accepts(entry.first, entry.second, now);
    });
}

// A query over many shards chooses once for each of them, so the list is not
// made anew each time.
void relay_peers::refresh_candidates(time_point now)
{
    if (now < m_refresh_at) {
        return;
    }
    m_refresh_at = now + candidates_life;
    m_candidates.clear();
    for (const auto& [peer, state] : m_peers) {
        if (accepts(peer, state, now)) {
            m_candidates.push_back(peer);
        }
    }
}

std::optional<std::string> relay_peers::choose(time_point now)
{
    refresh_candidates(now);
    std::optional<std::string> best;
    std::size_t found = 0;
    for (std::size_t draw = 0; draw < max_draws && found < compared_peers;
         ++draw) {
        if (m_candidates.empty()) {
            return std::nullopt;
        }
        const std::string& peer =
            m_candidates[m_random.below(m_candidates.size())];
        if (now < m_peers[peer].avoid_until) {
            continue;
        }
        ++found;
        if (!best || m_peers[peer].in_flight < m_peers[*best].in_flight) {
            best = peer;
        }
    }
    return best;
}

void relay_peers::drop_silent(time_point now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool silent =
            it->second.in_flight == 0 && !m_members.is_live(it->first, now);
        it = silent ? m_peers.erase(it) : std::next(it);
    }
}

void relay_peers::sent(const std::string& peer)
{
    ++m_peers[peer].in_flight;
}

void relay_peers::ended(const std::string& peer, const exchange_ended& ended,
                        time_point now)
{
    cancelled(peer);
    const auto* failure = std::get_if<exchange_failure>(&ended.result);
    if (failure == nullptr || ended.server.is_set()) {
        return;
    }
    const bool declined = failure->fault == exchange_fault::declined;
    m_peers[peer].avoid_until =
        now + (declined ? declined_pause : unreachable_pause);
}

void relay_peers::cancelled(const std::string& peer)
{
    peer_state& state = m_peers[peer];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
}

} // namespace cranberrywood
