#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_REACHABILITY_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_REACHABILITY_HPP

#include "core/gateway_messages.hpp"
#include "core/random_source.hpp"
#include "tables/server_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cranberrywood {

/**
 * Decides whether this VM has lost its links to the backend servers, as opposed
 * to some servers being down. When several servers fail at once it probes
 * others: the links are lost if no probe of a round connects, and are back once
 * most probes of a later round do. Open connections prove nothing: they may
 * live on while new ones fail.
 */
class server_reachability
{
public:
    server_reachability(const server_table& servers, random_source& random);

    /** Records how an exchange with a server ended. */
    void exchange_ended(backend_server_id server, const exchange_ended& ended,
                        time_point now);
    void server_probed(const server_probed& probed, time_point now,
                       gateway_commands& out);

    /** Starts the round of probes that is due. */
    void tick(time_point now, gateway_commands& out);
    /** Returns when tick has to be called next, if at all. */
    std::optional<time_point> next_wakeup() const;

    /** Returns whether the links to the servers are lost. */
    bool lost() const
    {
        return m_lost;
    }

private:
    std::size_t suspicious_count() const;
    std::vector<backend_server_id> choose_probes(time_point now);
    void end_round(time_point now, gateway_commands& out);

    const server_table& m_servers;
    random_source& m_random;
    bool m_lost = false;
    /** Servers that failed lately, and when. */
    std::map<backend_server_id, time_point> m_failed;
    /** Probes of the current round that are not answered yet. */
    std::set<backend_server_id> m_probing;
    std::size_t m_accepted = 0;
    std::size_t m_refused = 0;
    time_point m_next_round = time_point::max();
    time_point m_round_ends = time_point::max();
    time_point m_no_round_before;
    duration m_calm_pause;
};

} // namespace cranberrywood

#endif
