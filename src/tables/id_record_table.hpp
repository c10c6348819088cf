#ifndef CRANBERRYWOOD_TABLES_ID_RECORD_TABLE_HPP
#define CRANBERRYWOOD_TABLES_ID_RECORD_TABLE_HPP

#include "core/messages.hpp"
#include "systems/servers/replica_picker.hpp"

#include <set>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/** One ask that waits for the end of a non-repeatable request. */
struct lookup_waiter
{
    vm_id from;
    query_id query;
    /** Time after which the asker passes no answer on. */
    time_point deadline;
};

enum class record_state : std::uint8_t
{
    /** Nothing was started; final until refused_until. */
    refused,
    /** Sent to an owner, no result yet. */
    running,
    /** A result is known, or none will be. */
    ended,
};

/** What is known of one request id. */
struct id_record
{
    role_group_id group;
    time_point made;
    record_state state = record_state::refused;
    time_point refused_until;
    lookup_ask ask;
    time_point deadline;
    /** The last send. */
    query_id run;
    sub_request_id sub;
    lookup_target target;
    std::uint32_t sends = 0;
    std::vector<backend_server_id> excluded;
    std::vector<lookup_waiter> waiters;
    /** Answer to every ask, but for its query. */
    lookup_reply reply;
};

/** Records by request id, and by the query that was sent for them. */
class id_record_table
{
public:
    /** Returns the record of an id, or null when none is kept any longer. */
    id_record* find(request_id id, duration life, time_point now);

    /** Makes the record of an id that has none. */
    id_record& make(request_id id, role_group_id group, time_point now);

    /** Marks that a record waits for the result of a send. */
    void begin_run(id_record& r, query_id run, sub_request_id sub);

    /** Marks that a record waits no longer; a late result finds it still. */
    void end_wait(id_record& r);

    /** Returns the record whose result a query brings, or null. */
    id_record* find_run(query_id run);

    /** Forgets a query whose result has come. */
    void end_run(query_id run);

    /** Returns the ids that wait for a result. */
    const std::set<request_id>& running() const
    {
        return m_running;
    }

    /** Returns a record that is known to be there. */
    id_record& at(request_id id);

    /** Returns whether a group has records that wait for a result. */
    bool runs(role_group_id group) const;

    /** Returns the records of a group that are still kept. */
    std::vector<const id_record*> of(role_group_id group, duration life,
                                     time_point now) const;

    /** Drops the records of a group. */
    void drop(role_group_id group);

    /** Drops the records that have been kept for long enough. */
    void sweep(duration life, time_point now);

    /** Returns how many records are kept. */
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    using records_by_id = std::unordered_map<request_id, id_record>;

    void erase(records_by_id::iterator it);

    records_by_id m_records;
    std::unordered_map<query_id, request_id> m_runs;
    std::set<request_id> m_running;
};

} // namespace cranberrywood

#endif
