#ifndef CRANBERRYWOOD_LOOP_STOP_SCHEDULE_HPP
#define CRANBERRYWOOD_LOOP_STOP_SCHEDULE_HPP

#include "units/time.hpp"

namespace cranberrywood {

/**
 * What a VM that was asked to stop does when. It serves as before until the
 * balancer sends its callers elsewhere; then it takes no new connection, ends
 * idle ones and refuses what may take longer than it has. All requests are
 * answered some time before the process is killed, so that the answers reach
 * their callers.
 */
class stop_schedule
{
public:
    /** The process is killed so long after it was asked to stop. */
    stop_schedule(time_point asked, duration within);

    /** Time at which the balancer has noticed that the VM is not ready. */
    time_point balancer_noticed() const
    {
        return m_noticed;
    }
    /** Time by which all requests are answered. */
    time_point answer_by() const
    {
        return m_answer_by;
    }
    /** Time at which the process ends in any case. */
    time_point end_by() const
    {
        return m_end_by;
    }

private:
    time_point m_noticed;
    time_point m_answer_by;
    time_point m_end_by;
};

} // namespace cranberrywood

#endif
