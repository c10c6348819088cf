#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_SUSPICIONS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_SUSPICIONS_HPP

#include "core/gateway_messages.hpp"
#include "tables/server_table.hpp"

namespace cranberrywood {

/** What a server did that makes it suspect. */
enum class suspicion_cause : std::uint8_t
{
    /** A request is unanswered for longer than usual. */
    late,
    /** It refused a request, which has not run. */
    refused,
    /** It failed a request, or its connection did. */
    failed,
};

/**
 * Backend servers that are late, refuse or fail. For a term they get no first
 * sends while others can have them; a server that is no better at the end of
 * its term is suspect for twice as long. VMs that send to a server seldom tell
 * each other; those that send often go by what they see.
 */
class server_suspicions
{
public:
    explicit server_suspicions(server_table& servers);

    /** A send of this VM to the server came to nothing so far. */
    void found(backend_server_id server, suspicion_cause cause, time_point now,
               gateway_commands& out);

    /** Takes what a peer found. */
    void apply_remote(const std::string& peer,
                      const std::vector<server_suspicion>& suspicions,
                      time_point now, gateway_commands& out);

    /** Returns what the other VMs are to be told, and forgets it. */
    std::vector<server_suspicion> take_local_suspicions();

private:
    static bool suspect(server_row& row, duration term, time_point now);

    server_table& m_servers;
    std::vector<server_suspicion> m_news;
};

} // namespace cranberrywood

#endif
