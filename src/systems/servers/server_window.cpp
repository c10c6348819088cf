#include "systems/servers/server_window.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

// A new process is taken for warm when it has worked this much and this long.
constexpr std::uint32_t warm_completions = 128;
constexpr duration warm_time = std::chrono::seconds(3);

// Completed requests between two changes of the window, per unit of window.
constexpr std::uint32_t round_factor = 4;

// Weights of a new sample in the averages: one in this many.
constexpr std::int64_t recent_samples = 8;
constexpr std::int64_t long_term_samples = 256;

// The latency has risen when the recent average is this many times the
// long-term one.
constexpr std::int64_t rise_factor = 2;

// The shortest latency creeps up by one in this many for each sample, so
// that it follows a server that has become slower for good.
constexpr std::int64_t shortest_creep = 128;

duration moved_towards(duration average, duration sample, std::int64_t samples)
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
    m_limit = m_cold ? m_cold_limit
                     : std::clamp(m_limit, m_cold_limit, largest_limit());
}

void server_window::reset_to_cold(time_point now)
{
    m_cold = true;
    m_cold_since = now;
    m_completed_cold = 0;
    m_completed_in_round = 0;
    m_was_full = false;
    m_limit = m_cold_limit;
    m_recent = duration::zero();
    m_long_term = duration::zero();
    m_shortest = duration::zero();
}

void server_window::sent()
{
    ++m_in_flight;
    m_was_full = m_was_full || m_in_flight >= m_limit;
}

void server_window::completed(duration latency, time_point now)
{
    released();
    learn_latency(latency);
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

// One request more than the slots hides the way between owner and server; a
// longer queue belongs to the owner, where it is fair and can be dropped.
std::uint32_t server_window::largest_limit() const
{
    return m_slots + std::max(1U, m_slots / 4);
}

void server_window::learn_latency(duration latency)
{
    m_recent = moved_towards(m_recent, latency, recent_samples);
    m_long_term = moved_towards(m_long_term, latency, long_term_samples);
    if (m_shortest == duration::zero() || latency < m_shortest) {
        m_shortest = latency;
    } else {
        m_shortest += (latency - m_shortest) / shortest_creep;
    }
}

// The window changes once a round, so that it sees the effect of a change
// before the next one.
void server_window::finish_round(time_point now)
{
    const bool was_full = std::exchange(m_was_full, m_in_flight >= m_limit);
    m_completed_in_round = 0;
    if (m_cold) {
        m_cold = !warmed_up(now);
        return;
    }
    if (m_recent > m_long_term * rise_factor) {
        shrink();
    } else if (was_full) {
        grow();
    }
}

// Both are needed: a burst of short requests does not fill caches, and time
// alone warms nothing.
bool server_window::warmed_up(time_point now) const
{
    return m_completed_cold >= warm_completions &&
           now - m_cold_since >= warm_time;
}

void server_window::grow()
{
    m_limit = std::min(m_limit + 1, largest_limit());
}

void server_window::shrink()
{
    m_completed_in_round = 0;
    m_limit = std::max(m_limit - 1, m_cold_limit);
}

} // namespace cranberrywood
