#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REPLY_MERGER_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REPLY_MERGER_HPP

#include "core/outbox.hpp"
#include "systems/queries/request_at_crash.hpp"

#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

namespace cranberrywood {

/** A query's parts at this owner, with what has not been replied yet. */
struct owned_query
{
    vm_id entry;
    /** The request as it came, without its asks. */
    owner_request request;
    time_point deadline;
    /** Asks without a result, with the servers that they are bound to. */
    std::unordered_map<sub_request_id, backend_server_id> open_asks;
    std::vector<shard_result> results;
    std::vector<held_versions> versions;
    std::vector<hit> hits;
    bool queued_for_flush = false;
};

/**
 * Collects the results of the parts of each query and sends them to its
 * entry VM: one message per query and batch, with the best hits merged.
 * Only hits of the query's own index version may be put in.
 */
class reply_merger
{
public:
    using query_pointer = std::shared_ptr<owned_query>;

    /** Returns the record of a query, made new when it has no open asks. */
    query_pointer record(vm_id entry, const owner_request& request,
                         time_point now);

    /** Returns the records of a query: one for each snapshot it uses. */
    std::vector<query_pointer> find(vm_id entry, query_id query) const;

    /** Ends one of the open asks of a query. */
    void finish(const query_pointer& query, const shard_result& result);

    /** Puts in the hits of a part that was run. */
    static void add_hits(owned_query& query, std::vector<hit> hits);

    /** Tells the entry VM which versions a server holds, now and then. */
    void report_versions(owned_query& query, const held_versions& held,
                         time_point now);

    /** Sends everything that was collected since the last call. */
    void flush(outbox& out);

    /** Takes the parts that were completed. */
    std::vector<completed_part> take_completed();

    /** Returns the number of queries with open asks. */
    std::size_t size() const
    {
        return m_queries.size();
    }

private:
    struct told
    {
        held_versions held;
        time_point at;
    };
    // A query that restarts on another snapshot must not share a record.
    using query_key =
        std::tuple<vm_id, query_id, index_version, shard_map_version>;

    static query_key key_of(vm_id entry, const owner_request& request);
    void mark_for_flush(const query_pointer& query);
    void note_completed(const owned_query& query, shard_id shard);

    std::map<query_key, query_pointer> m_queries;
    std::vector<query_pointer> m_to_flush;
    std::map<std::pair<vm_id, backend_server_id>, told> m_told;
    std::vector<completed_part> m_completed;
};

} // namespace cranberrywood

#endif
