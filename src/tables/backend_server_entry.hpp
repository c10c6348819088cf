#ifndef CRANBERRYWOOD_TABLES_BACKEND_SERVER_ENTRY_HPP
#define CRANBERRYWOOD_TABLES_BACKEND_SERVER_ENTRY_HPP

#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <string>

namespace cranberrywood {

/** What a backend server says of itself in the platform's list. */
struct backend_server_entry
{
    backend_server_id id;
    std::string name;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    /** Requests that it works on at a time. */
    std::uint32_t slots = 1;
    bool draining = false;
    /** How long it will stay cold. */
    duration cold_remaining{0};
    /** Unix time of its start in milliseconds; 0 when not said. */
    std::uint64_t born_ms = 0;
    /** Count of its reports since its start. */
    std::uint64_t sequence = 0;
};

/**
 * Returns whether a report was written before what is known of the server.
 * A server whose entry was removed lives only if it reports a new number.
 */
bool is_late_report(const backend_server_entry& known,
                    const backend_server_entry& report, bool listed);

} // namespace cranberrywood

#endif
