#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_CONNECTION_SHARES_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_CONNECTION_SHARES_HPP

#include "core/gateway_messages.hpp"

#include <unordered_map>

namespace cranberrywood {

/** What divides the connections of the servers of a service. */
struct connection_limits
{
    /** Connections that one server accepts from all VMs. */
    std::uint32_t connections = 1;
    /** VMs that use the server. */
    std::uint32_t vms = 1;
    /** Servers of the service. */
    std::size_t servers = 1;
};

/**
 * This VM's share of the connections that a server accepts from all VMs. A VM
 * knows its own sends only. If the servers of a service are used alike, the
 * shares of all VMs at a server have the same sum as the shares of one VM at
 * all servers of the service.
 */
class connection_shares
{
public:
    /** Returns how many requests of this VM may be in flight at a server. */
    static std::uint32_t most_in_flight(const connection_limits& limits);

    /** Records a send to a server. */
    void sent(service_id service, backend_server_id server, time_point now);
    /** Returns how long a connection to a server is kept after its answer. */
    connection_keep keep(service_id service, backend_server_id server,
                         const connection_limits& limits, time_point now) const;

    /**
     * Records that a server reset a new connection as it was over its limit;
     * returns true at most once a second for each server.
     */
    bool over_limit(backend_server_id server, time_point now);
    /** Returns whether this VM may open a connection to a server. */
    bool may_open(backend_server_id server, time_point now) const;

    /** Returns after which time this VM may open a connection to a server. */
    duration opens_after(backend_server_id server, time_point now) const;

    /** Forgets servers and services without news. */
    void drop_expired(time_point now);

private:
    /** Sends per second, averaged with weights that decay with age. */
    class send_rate
    {
    public:
        void count(time_point now);
        /** Returns the number of sends, weighted by age. */
        double weight(time_point now) const;
        bool expired(time_point now) const;

    private:
        double m_weight = 0.0;
        time_point m_at;
    };

    struct resets
    {
        time_point last_at;
        time_point logged_at;
        time_point closed_until;
        duration term{0};
    };

    std::unordered_map<backend_server_id, send_rate> m_servers;
    std::unordered_map<service_id, send_rate> m_services;
    std::unordered_map<backend_server_id, resets> m_resets;
    time_point m_first_send = time_point::max();
};

} // namespace cranberrywood

#endif
