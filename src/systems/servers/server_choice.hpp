#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_CHOICE_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_CHOICE_HPP

#include "core/random_source.hpp"
#include "systems/servers/cold_limits.hpp"
#include "systems/servers/evacuated_data_centres.hpp"
#include "systems/servers/server_conditions.hpp"
#include "systems/servers/server_limits.hpp"
#include "tables/server_table.hpp"

#include <optional>
#include <set>
#include <variant>

namespace cranberrywood {

/** Constraints on the choice of a backend server. */
struct choice_criteria
{
    service_id service;
    data_centre_id own_data_centre;
    /** Maximum requests of this VM in flight at one backend server. */
    std::uint32_t max_in_flight = 1;
    /** Backend servers that were already tried and are excluded. */
    std::vector<backend_server_id> tried;
    /** An extra send, for which servers that are no help are excluded. */
    bool extra = false;
    /** The send may probe an impaired server. */
    bool may_probe = false;
    /** The VM keeps to two servers of a service while they are good. */
    bool keep_to_two = false;
};

/** No usable backend server takes a request now. */
struct all_at_capacity
{
    /**
     * When the first server takes requests again that wants none for a time;
     * unset if others are only at their limit of requests in flight.
     */
    std::optional<time_point> reopens_at;
};

/** The service has no usable backend server. */
struct no_usable_server
{
};

using choice_result =
    std::variant<backend_server_id, all_at_capacity, no_usable_server>;

/**
 * Selects the backend server for one send from what this VM knows. Of the best
 * health class (good, else cold, else suspect, else impaired) it compares two
 * servers and takes the one that is expected to answer sooner: two drawn at
 * random, the first from the VM's own data centre if possible, or, in a large
 * fleet, always the same two.
 */
class server_choice
{
public:
    server_choice(const server_table& servers, const server_limits& limits,
                  cold_limits& cold, server_conditions& conditions,
                  const std::string& self, random_source& random);

    /** Returns the data centres whose servers get no requests. */
    evacuated_data_centres& evacuations()
    {
        return m_evacuated;
    }

    choice_result choose(const choice_criteria& criteria, time_point now) const;

    /**
     * Returns when a service takes a request at the earliest: now, or when the
     * first of its servers reopens; none if it has no usable server.
     */
    std::optional<time_point> opens_at(service_id service,
                                       time_point now) const;

    /** Returns whether the server may get new requests. */
    bool is_usable(const server_row& row, time_point now) const;
    /** Returns whether an unanswered request makes the server suspect. */
    static bool is_suspect(const server_row& row, time_point now);

private:
    enum class health_class : std::uint8_t
    {
        good,
        cold,
        suspect,
        impaired,
    };
    struct candidate
    {
        backend_server_id id;
        health_class health = health_class::good;
        /** It is in the VM's own data centre. */
        bool local = false;
        double cost = 0.0;
    };

    /** Returns when a usable server may get a request. */
    time_point opening_of(const server_row& row, time_point now) const;
    backend_server_id choose_of(std::vector<candidate> best) const;
    backend_server_id choose_preferred(std::vector<candidate> best) const;
    bool excludes(const choice_criteria& criteria, const server_row& row,
                  health_class health) const;
    double random_cost_factor() const;
    health_class health_of(const server_row& row, time_point now) const;
    double cost_of(const server_row& row, data_centre_id own, duration typical,
                   time_point now) const;
    duration typical_latency(service_id service) const;

    const server_table& m_servers;
    const server_limits& m_limits;
    cold_limits& m_cold;
    server_conditions& m_conditions;
    /** Hash of this VM, by which it prefers servers. */
    std::uint64_t m_self;
    random_source& m_random;
    evacuated_data_centres m_evacuated;
};

} // namespace cranberrywood

#endif
