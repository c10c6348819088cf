#include "systems/settings/configuration_watch.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Minimum interval between reads that return no newer revision.
constexpr duration unchanged_read_interval = milliseconds(500);
constexpr duration initial_backoff = milliseconds(500);
constexpr duration max_backoff = seconds(8);
// A read without an answer for this long counts as failed.
constexpr duration read_timeout = seconds(60);

} // namespace

void configuration_watch::tick(time_point now, outbox& out)
{
    if (m_read_in_flight && now - m_issued_at > read_timeout) {
        record_failure(now);
    }
    if (m_read_in_flight || now < m_next_read) {
        return;
    }
    out.issue(read_configuration{m_newest});
    m_read_in_flight = true;
    m_issued_at = now;
    ++m_reads;
}

void configuration_watch::record_answer(revision_number revision,
                                        time_point now)
{
    const bool is_newer = revision > m_newest;
    m_read_in_flight = false;
    m_failures = 0;
    // A revision older than the newest known one does not confirm that the
    // settings are up to date.
    if (revision >= m_newest) {
        m_ever_answered = true;
        m_last_answer = now;
    }
    m_next_read =
        is_newer
            ? now
            : std::max(now, m_issued_at + jittered(unchanged_read_interval));
    m_newest = std::max(m_newest, revision);
}

void configuration_watch::record_revision(revision_number revision)
{
    m_newest = std::max(m_newest, revision);
}

void configuration_watch::record_failure(time_point now)
{
    constexpr std::uint32_t max_doublings = 4;
    const std::uint32_t doublings = std::min(m_failures, max_doublings);
    const duration backoff =
        std::min(initial_backoff * (1U << doublings), max_backoff);
    m_read_in_flight = false;
    ++m_failures;
    m_next_read = now + jittered(backoff);
}

bool configuration_watch::answered_within(duration span, time_point now) const
{
    return m_ever_answered && now - m_last_answer <= span;
}

// Returns a random duration between half of the interval and all of it.
duration configuration_watch::jittered(duration interval)
{
    const auto half = static_cast<std::uint64_t>(interval.count()) / 2;
    return duration(static_cast<duration::rep>(half + m_random.below(half)));
}

} // namespace cranberrywood
