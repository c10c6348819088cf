#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_COLD_LIMITS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_COLD_LIMITS_HPP

#include "core/gateway_messages.hpp"
#include "systems/servers/limit_sharers.hpp"
#include "tables/catalogue.hpp"
#include "tables/server_table.hpp"

#include <memory>
#include <unordered_map>

namespace cranberrywood {

/**
 * Limits the requests per second that all VMs together send to a backend server
 * while it is cold. The rate of its service is divided among some VMs; each
 * spaces its requests evenly, and other VMs send none until the server is warm.
 */
class cold_limits
{
public:
    /** The table and the directory must outlive this object. */
    cold_limits(const server_table& servers, const member_directory& members);

    /** Applies the rates of a new configuration. */
    void catalogue_changed(std::shared_ptr<const catalogue> limits);

    /**
     * Records that no process listens at a server's address: it will be cold
     * when it is back, also before it says so.
     */
    void refused(backend_server_id server, time_point now,
                 gateway_commands& out);

    /** Returns whether requests to the server are limited while it is cold. */
    bool has_limit(const server_row& row) const;
    /** Returns when the server may get a request of this VM: now, or later. */
    time_point opens_at(const server_row& row, time_point now);
    /** Records that a request was sent. */
    void record_sent(const server_row& row, time_point now);

    /** Forgets servers that are gone or warm. */
    void drop_expired(time_point now);

private:
    struct state
    {
        time_point next_at;
        /** Until when a server that refused connections may be cold. */
        time_point cold_until;
    };

    /** Returns the service of a server if it limits cold servers. */
    const service_entry* find_limit(service_id service) const;
    time_point cold_until(const server_row& row) const;

    const server_table& m_servers;
    limit_sharers m_sharers;
    std::shared_ptr<const catalogue> m_settings;
    std::unordered_map<backend_server_id, state> m_states;
};

} // namespace cranberrywood

#endif
