#include "loop/rest_limits.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/**
 * Time for which an idle time that worked, or the loss of a fresh connection,
 * shows that a loss has another reason than idleness. Servers that lose answers
 * do so for some 4 s.
 */
constexpr duration evidence_life = 6s;
/** Idle times kept of a server; the shortest is replaced. */
constexpr std::size_t most_idle_times = 8;
/** Time after which a loss is not in a row with the next one. */
constexpr duration loss_life = 30s;
constexpr std::uint32_t losses_for_limit = 2;
/**
 * Fraction of the shortest idle time that was lost which is used if no idle
 * time is known to work. VMs of large fleets use a connection each 0.8 to 2 s,
 * so that a limit of 320 ms is kept after the first two losses.
 */
constexpr int untested_divisor = 8;
constexpr duration shortest_limit = 50ms;
/** Time before a longer idle time is tried; doubles while that is lost. */
constexpr duration first_term = 2s;
constexpr duration longest_term = 32s;
/** Time after which a trial without result is repeated. */
constexpr duration trial_time = 1s;
/** Time after which a server without news is forgotten. */
constexpr duration record_life = 120s;

} // namespace

void rest_limits::worked(backend_server_id server, duration rested,
                         time_point now)
{
    record& known = m_servers[server];
    known.changed_at = now;
    auto& times = known.worked;
    times.erase(std::remove_if(times.begin(), times.end(),
                               [&](const idle_time& t) {
                                   return t.rested <= rested ||
                                          now - t.at > evidence_life;
                               }),
                times.end());
    if (times.size() >= most_idle_times) {
        times.pop_back();
    }
    times.push_back({rested, now});
    if (known.losses > 0 && rested >= known.shortest_loss) {
        known.losses = 0;
        known.own.reset();
    } else if (known.own && rested > known.own->rest) {
        known.own->rest = rested;
        known.own->try_at = now + first_term;
    }
    drop_expired(now);
}

void rest_limits::lost(backend_server_id server, duration rested,
                       time_point now)
{
    record& known = m_servers[server];
    known.changed_at = now;
    if (!explained_by_idleness(known, rested, now)) {
        known.losses = 0;
        return;
    }
    if (known.losses == 0 || (!known.own && now - known.lost_at > loss_life)) {
        known.losses = 0;
        known.shortest_loss = rested;
    }
    ++known.losses;
    known.shortest_loss = std::min(known.shortest_loss, rested);
    known.lost_at = now;
    if (known.losses >= losses_for_limit) {
        set_limit(known, now);
    }
    drop_expired(now);
}

void rest_limits::lost_fresh(backend_server_id server, time_point now)
{
    record& known = m_servers[server];
    known.changed_at = now;
    known.fresh_lost_at = now;
}

bool rest_limits::may_use(backend_server_id server, duration rested,
                          time_point now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.own ||
        rested <= found->second.own->rest) {
        return true;
    }
    limit& own = *found->second.own;
    if (now < own.try_at) {
        return false;
    }
    own.try_at = now + trial_time;
    return true;
}

bool rest_limits::explained_by_idleness(const record& known, duration rested,
                                        time_point now)
{
    const bool as_long_worked = std::any_of(
        known.worked.begin(), known.worked.end(), [&](const idle_time& t) {
            return t.rested >= rested && now - t.at <= evidence_life;
        });
    const bool fresh_lost =
        known.fresh_lost_at && now - *known.fresh_lost_at <= evidence_life;
    return !as_long_worked && !fresh_lost;
}

void rest_limits::set_limit(record& known, time_point now)
{
    duration rest =
        std::max(shortest_limit, known.shortest_loss / untested_divisor);
    for (const idle_time& t : known.worked) {
        if (t.rested < known.shortest_loss) {
            rest = std::max(rest, t.rested);
        }
    }
    const duration term =
        known.own ? std::min(longest_term, known.own->term * 2) : first_term;
    known.own = limit{known.own ? std::min(known.own->rest, rest) : rest,
                      now + term, term};
}

void rest_limits::drop_expired(time_point now)
{
    if (now - m_dropped_at < record_life) {
        return;
    }
    m_dropped_at = now;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        it = now - it->second.changed_at >= record_life ? m_servers.erase(it)
                                                        : std::next(it);
    }
}

} // namespace cranberrywood
