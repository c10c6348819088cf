#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_EVIDENCE_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_EVIDENCE_HPP

#include "systems/servers/server_conditions.hpp"
#include "systems/servers/server_suspicions.hpp"

namespace cranberrywood {

/** A send to a backend server, as far as its latency is judged. */
struct judged_send
{
    backend_server_id server;
    time_point sent_at;
    /** Latency that is usual for such requests; 0 if none is known. */
    duration usual{0};
};

/**
 * Turns what becomes of this VM's sends into suspicions, which cover a pause,
 * and into evidence on the conditions of servers, which outlast one.
 */
class server_evidence
{
public:
    /** Both must outlive this object. */
    server_evidence(server_suspicions& suspicions,
                    server_conditions& conditions);

    /** The send has been unanswered for longer than usual. */
    void late(const judged_send& send, time_point now, gateway_commands& out);
    /** The server answered. */
    void answered(const judged_send& send, time_point now,
                  gateway_commands& out);
    /** The server refused the request without running it. */
    void refused(const judged_send& send, time_point now,
                 gateway_commands& out);
    /** The request or its connection failed. */
    void failed(const judged_send& send, time_point now, gateway_commands& out);
    /** A connection that had been idle was lost with the request. */
    void kept_connection_lost(const judged_send& send, time_point now,
                              gateway_commands& out);
    /** The send was given up without an answer. */
    void cancelled(const judged_send& send, time_point now,
                   gateway_commands& out);

private:
    server_suspicions& m_suspicions;
    server_conditions& m_conditions;
};

} // namespace cranberrywood

#endif
