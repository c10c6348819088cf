#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_CHOICE_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_CHOICE_HPP

#include "core/random_source.hpp"
#include "tables/server_table.hpp"

#include <set>
#include <variant>

namespace cranberrywood {

/** What a choice of backend server has to keep to. */
struct choice_criteria
{
    service_id service;
    data_centre_id own_data_centre;
    /** Requests that this VM may have at one backend server. */
    std::uint32_t max_in_flight = 1;
    /** Backend servers that were already tried. */
    std::vector<backend_server_id> tried;
    /** An extra send: servers that are suspect or cold are of no use. */
    bool extra = false;
};

/** Every usable backend server has as many requests as it may have. */
struct all_at_capacity
{
};

/** The service has no usable backend server. */
struct no_usable_server
{
};

using choice_result =
    std::variant<backend_server_id, all_at_capacity, no_usable_server>;

/**
 * Chooses the backend server for one send, by what this VM observed. Of the
 * best class (warm and answering, else cold, else suspect) it takes the one
 * of two at random that is expected to answer sooner.
 */
class server_choice
{
public:
    server_choice(const server_table& servers, random_source& random);

    /** Takes the data centres whose servers get nothing. */
    void evacuated(std::vector<data_centre_id> data_centres);
    bool is_evacuated(data_centre_id data_centre) const;

    choice_result choose(const choice_criteria& terms, time_point now) const;

    /** Returns whether the server may get any new request. */
    bool is_usable(const server_row& row, time_point now) const;
    /** Returns whether an unanswered request makes the server suspect. */
    static bool is_suspect(const server_row& row, time_point now);

private:
    enum class standing : std::uint8_t
    {
        good,
        cold,
        suspect,
    };
    struct candidate
    {
        backend_server_id id;
        standing rank = standing::good;
        double cost = 0.0;
    };

    double spread() const;
    standing standing_of(const server_row& row, time_point now) const;
    double cost_of(const server_row& row, data_centre_id own, duration typical,
                   time_point now) const;
    duration typical_latency(service_id service) const;

    const server_table& m_servers;
    random_source& m_random;
    std::set<data_centre_id> m_evacuated;
};

} // namespace cranberrywood

#endif
