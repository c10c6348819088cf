#include "loop/loop_lag.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Lateness of timers that is usual. */
constexpr duration usual_lateness = 10ms;
/** Time for which a lag is remembered; timers run at least as often. */
constexpr duration memory = 250ms;

} // namespace

void loop_lag::observe(time_point planned, time_point due, time_point ran)
{
    const duration late = ran - std::max(planned, due);
    if (late < at(ran)) {
        return;
    }
    m_lag = late > usual_lateness ? late : duration(0);
    m_seen_at = ran;
}

duration loop_lag::at(time_point now) const
{
    return now - m_seen_at < memory ? m_lag : duration(0);
}

} // namespace cranberrywood
