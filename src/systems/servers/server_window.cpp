#include "systems/servers/server_window.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

// A cold server counts as warm after this many completed requests and this
// time.
constexpr std::uint32_t warm_completions = 128;
constexpr duration warm_time = std::chrono::seconds(3);

// Completed requests between two changes of the limit, as a multiple of the
// limit.
constexpr std::uint32_t round_factor = 4;

// A new sample has a weight of one in this many in the averages.
constexpr std::int64_t recent_samples = 8;
constexpr std::int64_t long_term_samples = 256;

// The latency counts as risen when the recent average exceeds this many times
// the long-term one.
constexpr std::int64_t rise_factor = 2;

// The shortest latency rises by one in this many of its distance to each slower
// sample, so that it follows a server that has become permanently slower.
constexpr std::int64_t shortest_rise_samples = 128;

duration update_average(duration average, duration sample, std::int64_t samples)
{
    return average == duration::zero() ? sample
                                       : average + (sample - average) / samples;
}

} // namespace

server_window::server_window(const service_settings& service)
{
    limits_changed(service);
    m_limit = m_cold_limit;
}

void server_window::limits_changed(const service_settings& service)
{
    m_slots = std::max(1U, service.slots);
    m_cold_limit = std::clamp(service.cold_limit, 1U, m_slots);
    m_limit =
        m_cold ? m_cold_limit : std::clamp(m_limit, m_cold_limit, max_limit());
}

void server_window::reset_to_cold(time_point now)
{
    m_cold = true;
    m_cold_since = now;
    m_completed_cold = 0;
    m_completed_in_round = 0;
    m_was_full = false;
    m_limit = m_cold_limit;
    m_recent_latency = duration::zero();
    m_long_term_latency = duration::zero();
    m_shortest_latency = duration::zero();
}

void server_window::sent()
{
    ++m_in_flight;
    m_was_full = m_was_full || m_in_flight >= m_limit;
}

void server_window::completed(duration latency, time_point now)
{
    released();
    update_latency(latency);
    if (m_cold) {
        ++m_completed_cold;
    }
    if (++m_completed_in_round >= m_limit * round_factor) {
        finish_round(now);
    }
}

void server_window::failed()
{
    released();
    shrink();
}

void server_window::shed()
{
    released();
    shrink();
}

void server_window::released()
{
    if (m_in_flight > 0) {
        --m_in_flight;
    }
}

void server_window::clear_in_flight()
{
    m_in_flight = 0;
}

// A few requests beyond the slots (a quarter, at least one) hide the network
// delay between owner and server. A longer queue is kept at the owner, where it
// is fair and expired requests can be dropped.
std::uint32_t server_window::max_limit() const
{
    return m_slots + std::max(1U, m_slots / 4);
}

void server_window::update_latency(duration latency)
{
    m_recent_latency =
        update_average(m_recent_latency, latency, recent_samples);
    m_long_term_latency =
        update_average(m_long_term_latency, latency, long_term_samples);
    if (m_shortest_latency == duration::zero() ||
        latency < m_shortest_latency) {
        m_shortest_latency = latency;
    } else {
        m_shortest_latency +=
            (latency - m_shortest_latency) / shortest_rise_samples;
    }
}

// The limit changes at most once per round, so that the effect of a change is
// observed before the next one.
void server_window::finish_round(time_point now)
{
    const bool was_full = std::exchange(m_was_full, m_in_flight >= m_limit);
    m_completed_in_round = 0;
    if (m_cold) {
        m_cold = !is_warmed_up(now);
        return;
    }
    if (m_recent_latency > m_long_term_latency * rise_factor) {
        shrink();
    } else if (was_full) {
        grow();
    }
}

// Both conditions are needed: a burst of short requests does not fill the
// caches, and neither does time without requests.
bool server_window::is_warmed_up(time_point now) const
{
    return m_completed_cold >= warm_completions &&
           now - m_cold_since >= warm_time;
}

void server_window::grow()
{
    m_limit = std::min(m_limit + 1, max_limit());
}

void server_window::shrink()
{
    m_completed_in_round = 0;
    m_limit = std::max(m_limit - 1, m_cold_limit);
}

} // namespace cranberrywood
