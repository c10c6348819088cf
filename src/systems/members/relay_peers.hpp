#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_RELAY_PEERS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_RELAY_PEERS_HPP

#include "core/gateway_messages.hpp"
#include "systems/members/member_directory.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrywood {

/**
 * The peers that relay sends for this VM while its own links to the backend
 * servers are lost: those that say so and are live, the less used of two drawn
 * at random. A peer that declines or fails is avoided for a time.
 */
class relay_peers
{
public:
    /** The directory and the random source must outlive this object. */
    relay_peers(member_directory& members, random_source& random);

    /** Records what a peer's datagram says. */
    void received(const std::string& from, bool accepts_relays);
    /** Returns the peer to ask; none if no live peer accepts relays. */
    std::optional<std::string> choose(time_point now);
    /** Returns whether choose would find a peer. */
    bool available(time_point now) const;

    void sent(const std::string& peer);
    /** Records how a relay ended. */
    void ended(const std::string& peer, const exchange_ended& ended,
               time_point now);
    /** Records that a relay was cancelled. */
    void cancelled(const std::string& peer);

    /** Forgets peers that are not live. */
    void drop_silent(time_point now);

private:
    struct peer_state
    {
        bool accepts = false;
        std::uint32_t in_flight = 0;
        time_point avoid_until;
    };

    bool accepts(const std::string& peer, const peer_state& state,
                 time_point now) const;
    void refresh_candidates(time_point now);

    const member_directory& m_members;
    random_source& m_random;
    std::map<std::string, peer_state> m_peers;
    /** Peers that accepted relays when the list was made. */
    std::vector<std::string> m_candidates;
    time_point m_refresh_at;
};

} // namespace cranberrywood

#endif
