#ifndef CRANBERRYWOOD_UNITS_TIME_HPP
#define CRANBERRYWOOD_UNITS_TIME_HPP

#include <chrono>

namespace cranberrywood {

using duration = std::chrono::nanoseconds;

/**
 * Tag of the clock that all decisions use: monotonic, and it counts the time
 * that the machine was suspended. Readings of two VMs do not compare.
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

/** Source of the current time; fakes step it by hand. */
class clock
{
public:
    virtual ~clock() = default;
    /** Returns the current time. */
    virtual time_point now() const = 0;
};

} // namespace cranberrywood

#endif
