#ifndef CRANBERRYWOOD_SYSTEMS_STORE_PEER_CONFIGURATION_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_PEER_CONFIGURATION_HPP

#include "units/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberrywood {

/**
 * Decides when this VM asks a peer for its configuration: when a peer has named
 * a greater version for longer than a change takes to spread. This happens to a
 * VM that starts while the store holds an older copy, and to one that the store
 * does not serve.
 */
class peer_configuration
{
public:
    /** Records the version that a peer has in force, next to this VM's own. */
    void heard(const std::string& peer, std::uint64_t version,
               std::uint64_t own, time_point now);

    /** Returns the peer to ask now; each call counts as an attempt. */
    std::optional<std::string> next_source(std::uint64_t own, time_point now);

    /** Returns whether a peer has named a greater version than `own`. */
    bool is_behind(std::uint64_t own) const
    {
        return m_version > own;
    }

private:
    std::uint64_t m_version = 0;
    std::string m_peer;
    /** Since when a peer has had a greater version than this VM. */
    time_point m_behind_since;
    time_point m_next_attempt;
};

} // namespace cranberrywood

#endif
