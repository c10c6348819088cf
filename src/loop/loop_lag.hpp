#ifndef CRANBERRYWOOD_LOOP_LOOP_LAG_HPP
#define CRANBERRYWOOD_LOOP_LOOP_LAG_HPP

#include "units/time.hpp"

namespace cranberrywood {

/**
 * How long events wait before the loop gets to them, read off the lateness of
 * its timers. On a VM that is short of processor time, or was frozen, bytes
 * may have come as much earlier than they are read.
 */
class loop_lag
{
public:
    /**
     * A timer that was due at a time was run. A timer may be planned when it is
     * overdue already, which says nothing of the loop.
     */
    void observe(time_point planned, time_point due, time_point ran);

    /** Returns the lag that events of this moment may have had. */
    duration at(time_point now) const;

private:
    duration m_lag{0};
    time_point m_seen_at;
};

} // namespace cranberrywood

#endif
