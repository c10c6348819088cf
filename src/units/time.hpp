#ifndef CRANBERRYWOOD_UNITS_TIME_HPP
#define CRANBERRYWOOD_UNITS_TIME_HPP

#include <chrono>

namespace cranberrywood {

using duration = std::chrono::nanoseconds;

/**
 * Monotonic clock used for all decisions; it also advances while the machine is
 * suspended. Readings of different VMs are not comparable.
 */
struct node_clock
{
    using duration = cranberrywood::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

using time_point = node_clock::time_point;

/** Source of the current time; replaced by a manual clock in tests. */
class clock
{
public:
    virtual ~clock() = default;
    /** Returns the current time. */
    virtual time_point now() const = 0;
};

} // namespace cranberrywood

#endif
