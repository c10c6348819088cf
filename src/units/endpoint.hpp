#ifndef CRANBERRYWOOD_UNITS_ENDPOINT_HPP
#define CRANBERRYWOOD_UNITS_ENDPOINT_HPP

#include <cstdint>
#include <string>

namespace cranberrywood {

/** Listening address of a process: IP address and TCP port. */
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.host == b.host && a.port == b.port;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b)
    {
        return !(a == b);
    }
};

/** Returns `host:port`. */
inline std::string to_string(const endpoint& e)
{
    return e.host + ":" + std::to_string(e.port);
}

} // namespace cranberrywood

#endif
