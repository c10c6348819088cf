#include "loop/boot_clock.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>

namespace cranberrywood {

time_point boot_clock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
}

// The name of the program may contain spaces and parentheses; the numbered
// fields begin behind its last parenthesis.
duration boot_clock::process_age() const
{
    constexpr int fields_before_start = 19;
    std::ifstream file("/proc/self/stat");
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    const std::size_t name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        return duration(0);
    }
    std::istringstream fields(text.substr(name_end + 1));
    std::string skipped;
    for (int i = 0; i < fields_before_start; ++i) {
        fields >> skipped;
    }
    double ticks = 0.0;
    if (!(fields >> ticks)) {
        return duration(0);
    }
    const std::chrono::duration<double> started(
        ticks / static_cast<double>(sysconf(_SC_CLK_TCK)));
    return std::max(
        duration(0),
        now() - time_point(std::chrono::duration_cast<duration>(started)));
}

} // namespace cranberrywood
