#include "loop/boot_clock.hpp"

#include <ctime>

namespace cranberrywood {

time_point boot_clock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace cranberrywood
