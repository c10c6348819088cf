#include "systems/servers/server_choice.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** A request older than this many usual latencies makes its server suspect. */
constexpr int suspect_factor = 4;
/** Minimum age that makes a server suspect; below it is scheduling noise. */
constexpr duration min_suspect_age = 40ms;
/** Latency assumed before a service has answered. */
constexpr duration assumed_latency = 15ms;
/** Half-life of the difference between observed and typical latency. */
constexpr duration latency_half_life = 1s;
/** Relative range of the random factor on the cost. */
constexpr double cost_jitter = 0.1;
constexpr std::uint64_t cost_jitter_steps = 101;
/** Connection set-up time, plus a small amount for its load. */
constexpr duration connection_cost = 8ms;
/** Cost factor of servers in the local data centre. */
constexpr double own_data_centre_factor = 0.85;
/** The preferred server is left for one that is cheaper by this factor. */
constexpr double preference_factor = 1.6;

} // namespace

server_choice::server_choice(const server_table& servers,
                             const server_limits& limits, cold_limits& cold,
                             server_conditions& conditions,
                             const std::string& self, random_source& random)
    : m_servers(servers), m_limits(limits), m_cold(cold),
      m_conditions(conditions), m_self(stable_hash(self)), m_random(random)
{
}

bool server_choice::is_usable(const server_row& row, time_point now) const
{
    return !row.entry.draining && !row.leaving &&
           !m_evacuated.contains(row.entry.data_centre, now) &&
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

choice_result server_choice::choose(const choice_criteria& criteria,
                                    time_point now) const
{
    const duration typical = typical_latency(criteria.service);
    std::vector<candidate> best;
    bool usable = false;
    std::optional<time_point> reopens_at;
    for (const backend_server_id id : m_servers.of_service(criteria.service)) {
        const server_row& row = *m_servers.find(id);
        const bool tried =
            std::find(criteria.tried.begin(), criteria.tried.end(), id) !=
            criteria.tried.end();
        if (tried || !is_usable(row, now)) {
            continue;
        }
        const health_class health = health_of(row, now);
        // A slow server of a large fleet opens to each VM so seldom that probes
        // at this pace would find its recovery seconds late.
        const bool probe =
            criteria.may_probe && m_conditions.probe_due(id, now);
        if (const time_point opens =
                probe ? opening_of(row, now) : opening_of(row, health, now);
            opens > now) {
            reopens_at = std::min(opens, reopens_at.value_or(opens));
            continue;
        }
        if (excludes(criteria, row, health)) {
            continue;
        }
        usable = true;
        if (row.in_flight() >= criteria.max_in_flight) {
            continue;
        }
        if (probe) {
            return id;
        }
        if (!best.empty() && health > best.front().health) {
            continue;
        }
        if (!best.empty() && health < best.front().health) {
            best.clear();
        }
        best.push_back({id, health,
                        row.entry.data_centre == criteria.own_data_centre,
                        cost_of(row, criteria.own_data_centre, typical, now)});
    }
    if (!best.empty()) {
        return criteria.keep_to_two ? choose_preferred(std::move(best))
                                    : choose_of(std::move(best));
    }
    if (usable) {
        return all_at_capacity{};
    }
    return reopens_at ? choice_result(all_at_capacity{reopens_at})
                      : choice_result(no_usable_server{});
}

std::optional<time_point> server_choice::opens_at(service_id service,
                                                  time_point now) const
{
    std::optional<time_point> earliest;
    for (const backend_server_id id : m_servers.of_service(service)) {
        const server_row& row = *m_servers.find(id);
        if (is_usable(row, now)) {
            const time_point opens = opening_of(row, now);
            earliest = std::min(opens, earliest.value_or(opens));
        }
    }
    return earliest;
}

// In a large fleet most suspicions are of ordinary pauses, so a suspect server
// mostly answers an extra send sooner than the one that is late.
bool server_choice::excludes(const choice_criteria& criteria,
                             const server_row& row, health_class health) const
{
    if (!criteria.extra || health == health_class::good) {
        return false;
    }
    const bool limited = health == health_class::cold && m_cold.has_limit(row);
    return !criteria.keep_to_two || limited;
}

time_point server_choice::opening_of(const server_row& row, health_class health,
                                     time_point now) const
{
    const time_point opens = opening_of(row, now);
    return health == health_class::impaired
               ? std::max(opens, m_conditions.opens_at(row.entry.id, now))
               : opens;
}

time_point server_choice::opening_of(const server_row& row,
                                     time_point now) const
{
    return std::max({now, row.closed_until,
                     m_limits.opens_at(row.entry.id, now),
                     m_cold.opens_at(row, now)});
}

// The first candidate is local if there is one: a VM then keeps its connections
// to few servers busy, and most answers stay in the data centre. The second one
// takes over when the first is slow or busy.
backend_server_id server_choice::choose_of(std::vector<candidate> best) const
{
    const auto remote = std::partition(
        best.begin(), best.end(), [](const candidate& c) { return c.local; });
    const auto locals = static_cast<std::size_t>(remote - best.begin());
    const std::size_t first_of = locals > 0 ? locals : best.size();
    const std::size_t first = m_random.below(first_of);
    std::swap(best[first], best.back());
    const candidate taken = best.back();
    best.pop_back();
    if (best.empty()) {
        return taken.id;
    }
    const candidate& other = best[m_random.below(best.size())];
    return taken.cost <= other.cost * random_cost_factor() ? taken.id
                                                           : other.id;
}

// If a VM's part of a server's connections is one, the fleet is large, and a VM
// sends to a server about once a second. It keeps to its own server of a shard
// and to one other, which differs from VM to VM, so that it keeps connections
// to two servers and each server has those of some VMs only.
backend_server_id
server_choice::choose_preferred(std::vector<candidate> best) const
{
    const auto order = [&](const candidate& c) {
        return std::make_pair(!c.local, stable_hash(m_self, c.id.value()));
    };
    std::sort(best.begin(), best.end(),
              [&](const candidate& a, const candidate& b) {
                  return order(a) < order(b);
              });
    const candidate& first = best.front();
    const bool keep =
        best.size() == 1 || first.cost <= best[1].cost * preference_factor;
    return keep ? first.id : best[1].id;
}

// A small random factor, so that the slower of two servers is tried again once
// it may have recovered.
double server_choice::random_cost_factor() const
{
    const auto drawn = static_cast<double>(m_random.below(cost_jitter_steps));
    return 1.0 + cost_jitter * (2.0 * drawn / (cost_jitter_steps - 1) - 1.0);
}

server_choice::health_class server_choice::health_of(const server_row& row,
                                                     time_point now) const
{
    if (m_conditions.is_impaired(row.entry.id, now)) {
        return health_class::impaired;
    }
    if (now < row.avoid_until || now < row.suspected_until ||
        is_suspect(row, now)) {
        return health_class::suspect;
    }
    return now < row.cold_until ? health_class::cold : health_class::good;
}

// An old latency observation says little, so it decays towards the typical
// latency of the service, and the server is tried again.
double server_choice::cost_of(const server_row& row, data_centre_id own,
                              duration typical, time_point now) const
{
    double expected = static_cast<double>(typical.count());
    if (row.latency > duration(0)) {
        const std::chrono::duration<double> age = now - row.latency_at;
        const std::chrono::duration<double> half_life = latency_half_life;
        const double weight = std::exp2(-age.count() / half_life.count());
        expected +=
            (static_cast<double>(row.latency.count()) - expected) * weight;
    }
    if (m_conditions.is_impaired(row.entry.id, now)) {
        const duration known = m_conditions.latency(row.entry.id);
        expected = std::max(expected, static_cast<double>(known.count()));
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
    std::vector<duration> observed;
    for (const backend_server_id id : m_servers.of_service(service)) {
        const server_row& row = *m_servers.find(id);
        if (row.latency > duration(0)) {
            observed.push_back(row.latency);
        }
    }
    if (observed.empty()) {
        return assumed_latency;
    }
    const auto middle = observed.begin() +
                        static_cast<std::ptrdiff_t>((observed.size() - 1) / 2);
    std::nth_element(observed.begin(), middle, observed.end());
    return *middle;
}

} // namespace cranberrywood
