#include "systems/settings/configuration_watch.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shortest time between two reads that bring nothing new.
constexpr duration quiet_pause = milliseconds(500);
constexpr duration first_retry_pause = milliseconds(500);
constexpr duration longest_retry_pause = seconds(8);
// Age at which a waiting read counts as lost.
constexpr duration read_timeout = seconds(60);

} // namespace

void configuration_watch::tick(time_point now, outbox& out)
{
    if (m_waiting && now - m_issued > read_timeout) {
        unavailable(now);
    }
    if (m_waiting || now < m_next) {
        return;
    }
    out.issue(read_configuration{m_newest});
    m_waiting = true;
    m_issued = now;
    ++m_reads;
}

void configuration_watch::answered(revision_number revision, time_point now)
{
    const bool news = revision > m_newest;
    m_waiting = false;
    m_failures = 0;
    // An answer older than what is known confirms nothing.
    if (revision >= m_newest) {
        m_ever_answered = true;
        m_answered = now;
    }
    m_next = news ? now : std::max(now, m_issued + jittered(quiet_pause));
    m_newest = std::max(m_newest, revision);
}

void configuration_watch::learned(revision_number revision)
{
    m_newest = std::max(m_newest, revision);
}

void configuration_watch::unavailable(time_point now)
{
    constexpr std::uint32_t most_doublings = 4;
    const std::uint32_t doublings = std::min(m_failures, most_doublings);
    const duration pause =
        std::min(first_retry_pause * (1U << doublings), longest_retry_pause);
    m_waiting = false;
    ++m_failures;
    m_next = now + jittered(pause);
}

bool configuration_watch::answered_within(duration span, time_point now) const
{
    return m_ever_answered && now - m_answered <= span;
}

// Between half of the pause and all of it.
duration configuration_watch::jittered(duration pause)
{
    const auto half = static_cast<std::uint64_t>(pause.count()) / 2;
    return duration(static_cast<duration::rep>(half + m_random.below(half)));
}

} // namespace cranberrywood
