#ifndef CRANBERRYWOOD_TABLES_SERVER_TABLE_HPP
#define CRANBERRYWOOD_TABLES_SERVER_TABLE_HPP

#include "tables/backend_server_entry.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/** An exchange that a backend server has not answered. */
struct outstanding_exchange
{
    exchange_id exchange;
    time_point sent_at;
};

/** Table row: a listed backend server and what this VM observed of it. */
struct server_row
{
    backend_server_entry entry;
    /** Time from which the entry is no longer used; unset while listed. */
    std::optional<time_point> unlisted_at;
    /**
     * The entry was lost when the store was restored from an older copy, so it
     * may be written again as it was.
     */
    bool entry_lost = false;
    std::vector<outstanding_exchange> outstanding;
    /** Smoothed time in which it answers; 0 before its first answer. */
    duration latency{0};
    time_point latency_at;
    /** Until when it is cold, by its own word or after a sign of a restart. */
    time_point cold_until;
    /** Until when it gets no first sends after it failed or was silent. */
    time_point avoid_until;
    std::uint32_t failures_in_row = 0;
    /** Until when it gets no first sends as it is paused or slow. */
    time_point suspected_until;
    std::uint32_t suspicions_in_row = 0;
    /** Until when it has asked this VM to send nothing. */
    time_point closed_until;
    /** It said in an answer that it is leaving; holds until it starts anew. */
    bool leaving = false;
    /** Smoothed time between two sends of this VM; 0 before the second. */
    duration send_gap{0};
    time_point last_sent_at;
    /** Until when a connection is likely to be open and idle. */
    time_point connected_until;

    std::uint32_t in_flight() const
    {
        return static_cast<std::uint32_t>(outstanding.size());
    }
};

/** What became of an entry. */
enum class put_result : std::uint8_t
{
    /** The server is new, or started again. */
    started,
    updated,
    /** A later entry is known. */
    stale,
};

/** Backend servers by id and by service. */
class server_table
{
public:
    /** Adds a row or takes over an entry, unless a later one is known. */
    put_result put(const backend_server_entry& entry, time_point now);
    void remove(backend_server_id id);

    server_row* find(backend_server_id id);
    const server_row* find(backend_server_id id) const;
    /** Returns the ids of a service's backend servers. */
    const std::vector<backend_server_id>& of_service(service_id service) const;
    /** Returns the ids of all backend servers. */
    std::vector<backend_server_id> all() const;
    std::size_t size() const
    {
        return m_rows.size();
    }

private:
    struct departed_server
    {
        backend_server_entry entry;
        bool entry_lost = false;
    };

    bool is_stale(const backend_server_entry& entry) const;
    void index(backend_server_id id, service_id service);
    void unindex(backend_server_id id, service_id service);

    std::unordered_map<backend_server_id, server_row> m_rows;
    /** Last reports of servers whose rows are gone. */
    std::unordered_map<backend_server_id, departed_server> m_departed;
    std::unordered_map<service_id, std::vector<backend_server_id>> m_services;
};

} // namespace cranberrywood

#endif
