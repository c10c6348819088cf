#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_LIMITS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_LIMITS_HPP

#include "core/gateway_messages.hpp"
#include "systems/servers/limit_sharers.hpp"
#include "tables/server_table.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/**
 * Keeps to the limits that backend servers name for the requests of all VMs
 * together. A limit is divided among some VMs, chosen by rendezvous hashing;
 * each spaces its requests evenly and saves none up, so the sum holds without
 * any message. What one VM learns of a limit is told to the others.
 */
class server_limits
{
public:
    /** The table and the directory must outlive this object. */
    server_limits(const server_table& servers, const member_directory& members);

    /** Applies what an answer says: a limit, or none. */
    void observe(backend_server_id server, std::optional<double> per_second,
                 time_point sent_at, time_point now, gateway_commands& out);
    /** Applies reports of a peer. */
    void apply_remote(const std::string& peer,
                      const std::vector<server_limit_report>& reports,
                      time_point now, gateway_commands& out);
    /** Forgets the limit of a server that has started anew. */
    void forget(backend_server_id server);

    /** Returns when the server may get a request of this VM: now, or later. */
    time_point opens_at(backend_server_id server, time_point now) const;
    /** Records that a request was sent. */
    void record_sent(backend_server_id server, time_point now);

    /** Takes changes that the other VMs have to hear at once. */
    std::vector<server_limit_report> take_reports(time_point now);
    /** Returns known limits to repeat in a heartbeat, in turn. */
    std::vector<server_limit_report> reports_to_repeat(time_point now);

    /** Forgets servers that are gone, and limits that ended long ago. */
    void drop_expired(time_point now);

    std::size_t size() const
    {
        return m_states.size();
    }

private:
    struct state
    {
        /** Unset once the server has ended its limit. */
        std::optional<double> per_second;
        /** When the server last said so, to this VM or to a peer. */
        time_point heard_at;
        /** When this VM may send the next request. */
        time_point next_at;
        /** Limit that was last announced to peers. */
        std::optional<double> announced;
        bool unannounced = false;
    };

    void update(backend_server_id server, std::optional<double> per_second,
                time_point heard_at, const std::string& source, time_point now,
                gateway_commands& out);
    /** Returns the time between two requests of this VM to the server. */
    duration interval(backend_server_id server, const state& s, time_point now);
    server_limit_report report_of(backend_server_id server, const state& s,
                                  time_point now) const;

    const server_table& m_servers;
    const member_directory& m_members;
    limit_sharers m_sharers;
    std::unordered_map<backend_server_id, state> m_states;
    std::size_t m_next_repeated = 0;
};

} // namespace cranberrywood

#endif
