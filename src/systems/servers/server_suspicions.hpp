#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_SUSPICIONS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_SUSPICIONS_HPP

#include "core/gateway_messages.hpp"
#include "systems/servers/server_observation.hpp"
#include "tables/server_table.hpp"

namespace cranberrywood {

/**
 * Suspects backend servers that are late, refuse or fail. During the term of a
 * suspicion a server gets no first sends while others are available; a server
 * that has not recovered by its end is suspected for twice as long. VMs that
 * send to a server rarely announce suspicions to each other; those that send
 * often rely on their own observations.
 */
class server_suspicions
{
public:
    explicit server_suspicions(server_table& servers);

    /**
     * Records that a send of this VM was late or unsuccessful. A suspected
     * server is announced again only if its condition needs the evidence.
     */
    void found(const server_observation& seen, bool needs_evidence,
               time_point now, gateway_commands& out);

    /** Applies suspicions announced by a peer. */
    void apply_remote(const std::vector<server_suspicion>& suspicions,
                      time_point now);

    /** Takes the suspicions to announce to the other VMs. */
    std::vector<server_suspicion> take_local_suspicions();

private:
    static void extend_suspicion(server_row& row, duration term,
                                 time_point now);

    server_table& m_servers;
    std::vector<server_suspicion> m_unannounced;
};

} // namespace cranberrywood

#endif
