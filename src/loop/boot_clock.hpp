#ifndef CRANBERRYWOOD_LOOP_BOOT_CLOCK_HPP
#define CRANBERRYWOOD_LOOP_BOOT_CLOCK_HPP

#include "units/time.hpp"

namespace cranberrywood {

/**
 * Monotonic clock of the machine that goes on while the machine is suspended,
 * so that a process that wakes late sees that its leases have lapsed.
 */
class boot_clock : public clock
{
public:
    time_point now() const override;
    /**
     * Returns how long this process has run, to 10 ms; zero if the system does
     * not tell.
     */
    duration process_age() const;
};

} // namespace cranberrywood

#endif
