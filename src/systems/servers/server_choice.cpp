#include "systems/servers/server_choice.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** A request this many times older than usual makes its server suspect. */
constexpr int suspect_factor = 4;
/** Shortest age that makes a server suspect; below it is scheduling noise. */
constexpr duration min_suspect_age = 40ms;
/** Latency that is assumed before a service has answered. */
constexpr duration assumed_latency = 15ms;
/** Time in which a latency loses half of its distance from the typical. */
constexpr duration latency_half_life = 1s;
/** Costs that differ by less than this share may change places. */
constexpr double cost_spread = 0.1;
constexpr std::uint64_t cost_spread_steps = 101;
/** Time that it takes to set up a connection, and a little of its price. */
constexpr duration connection_cost = 8ms;
/** Factor on the cost of servers of the own data centre. */
constexpr double own_data_centre_factor = 0.85;

} // namespace

server_choice::server_choice(const server_table& servers, random_source& random)
    : m_servers(servers), m_random(random)
{
}

void server_choice::evacuated(std::vector<data_centre_id> data_centres)
{
    m_evacuated = {data_centres.begin(), data_centres.end()};
}

bool server_choice::is_evacuated(data_centre_id data_centre) const
{
    return m_evacuated.count(data_centre) != 0;
}

bool server_choice::is_usable(const server_row& row, time_point now) const
{
    return !row.entry.draining && !is_evacuated(row.entry.data_centre) &&
           (!row.unlisted_at || now < *row.unlisted_at);
}

bool server_choice::is_suspect(const server_row& row, time_point now)
{
    if (row.outstanding.empty()) {
        return false;
    }
    const duration usual =
        row.latency > duration(0) ? row.latency : assumed_latency;
    const duration limit = std::max(min_suspect_age, usual * suspect_factor);
    return now - row.outstanding.front().sent_at > limit;
}

choice_result server_choice::choose(const choice_criteria& terms,
                                    time_point now) const
{
    const duration typical = typical_latency(terms.service);
    std::vector<candidate> best;
    bool usable = false;
    for (const backend_server_id id : m_servers.of_service(terms.service)) {
        const server_row& row = *m_servers.find(id);
        const bool tried = std::find(terms.tried.begin(), terms.tried.end(),
                                     id) != terms.tried.end();
        if (tried || !is_usable(row, now)) {
            continue;
        }
        const standing rank = standing_of(row, now);
        if (terms.extra && rank != standing::good) {
            continue;
        }
        usable = true;
        if (row.in_flight() >= terms.max_in_flight) {
            continue;
        }
        if (!best.empty() && rank > best.front().rank) {
            continue;
        }
        if (!best.empty() && rank < best.front().rank) {
            best.clear();
        }
        best.push_back(
            {id, rank, cost_of(row, terms.own_data_centre, typical, now)});
    }
    if (best.empty()) {
        return usable ? choice_result(all_at_capacity{})
                      : choice_result(no_usable_server{});
    }
    if (best.size() == 1) {
        return best.front().id;
    }
    const std::size_t first = m_random.below(best.size());
    std::size_t second = m_random.below(best.size() - 1);
    second += second >= first ? 1 : 0;
    return best[first].cost <= best[second].cost * spread() ? best[first].id
                                                            : best[second].id;
}

// A little chance, so that of two servers the one that was seen to be slower
// is tried again once it may have recovered.
double server_choice::spread() const
{
    const auto drawn = static_cast<double>(m_random.below(cost_spread_steps));
    return 1.0 + cost_spread * (2.0 * drawn / (cost_spread_steps - 1) - 1.0);
}

server_choice::standing server_choice::standing_of(const server_row& row,
                                                   time_point now) const
{
    if (now < row.avoid_until || now < row.suspected_until ||
        is_suspect(row, now)) {
        return standing::suspect;
    }
    return now < row.cold_until ? standing::cold : standing::good;
}

// What was seen of a server long ago says little, so its latency returns to
// what is typical of its service, and the server is tried again.
double server_choice::cost_of(const server_row& row, data_centre_id own,
                              duration typical, time_point now) const
{
    double expected = static_cast<double>(typical.count());
    if (row.latency > duration(0)) {
        const std::chrono::duration<double> age = now - row.latency_at;
        const std::chrono::duration<double> half = latency_half_life;
        const double kept = std::exp2(-age.count() / half.count());
        expected +=
            (static_cast<double>(row.latency.count()) - expected) * kept;
    }
    const double factor =
        row.entry.data_centre == own ? own_data_centre_factor : 1.0;
    const bool connects = now >= row.connected_until || row.in_flight() > 0;
    const std::chrono::duration<double, std::nano> setup = connection_cost;
    return expected * factor * (1.0 + row.in_flight()) +
           (connects ? setup.count() : 0.0);
}

duration server_choice::typical_latency(service_id service) const
{
    std::vector<duration> seen;
    for (const backend_server_id id : m_servers.of_service(service)) {
        const server_row& row = *m_servers.find(id);
        if (row.latency > duration(0)) {
            seen.push_back(row.latency);
        }
    }
    if (seen.empty()) {
        return assumed_latency;
    }
    const auto middle =
        seen.begin() + static_cast<std::ptrdiff_t>((seen.size() - 1) / 2);
    std::nth_element(seen.begin(), middle, seen.end());
    return *middle;
}

} // namespace cranberrywood
