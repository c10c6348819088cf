#ifndef CRANBERRYWOOD_LOOP_CONNECTION_COUNTS_HPP
#define CRANBERRYWOOD_LOOP_CONNECTION_COUNTS_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace cranberrywood {

/** Why a connection to a backend server was closed. */
enum class close_reason : std::uint8_t
{
    /** It was idle for as long as it is kept. */
    idle,
    /** This VM kept enough idle connections to the server. */
    surplus,
    /** The answer does not permit another exchange. */
    not_reusable,
    /** The server ended it while it was idle. */
    ended_by_server,
    /** Its exchange failed, or it could not be set up. */
    failed,
    /** Its exchange was cancelled. */
    cancelled,
    /** The server moved to another address. */
    moved,
};

constexpr std::size_t close_reasons =
    static_cast<std::size_t>(close_reason::moved) + 1;

const char* name_of(close_reason reason);

/** Connections to backend servers since the start. */
struct connection_counts
{
    std::uint64_t opened = 0;
    /** Exchanges that were sent on an idle connection. */
    std::uint64_t reused = 0;
    std::array<std::uint64_t, close_reasons> closed{};

    void count(close_reason reason)
    {
        ++closed.at(static_cast<std::size_t>(reason));
    }
    std::uint64_t closed_for(close_reason reason) const
    {
        return closed.at(static_cast<std::size_t>(reason));
    }
};

} // namespace cranberrywood

#endif
