#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_OBSERVATION_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_OBSERVATION_HPP

#include "core/gateway_datagram.hpp"
#include "tables/server_table.hpp"

namespace cranberrywood {

/** What one late or unsuccessful send showed about its backend server. */
struct server_observation
{
    backend_server_id server;
    suspicion_cause cause = suspicion_cause::late;
    /** When the request was sent. */
    time_point sent_at;
    /** Time beyond the usual latency that has passed so far. */
    duration excess{0};
    /** Time in which it was answered; 0 if it was not. */
    duration latency{0};
};

/**
 * Returns whether this VM sends to a server so often that it relies on its own
 * observations: its latencies are up to date, and other VMs send as often.
 */
inline bool sends_often(const server_row& row)
{
    constexpr duration frequent_send_gap = std::chrono::milliseconds(300);
    return row.send_gap > duration(0) && row.send_gap < frequent_send_gap;
}

} // namespace cranberrywood

#endif
