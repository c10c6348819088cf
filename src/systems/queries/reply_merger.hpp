#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REPLY_MERGER_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REPLY_MERGER_HPP

#include "core/outbox.hpp"
#include "systems/queries/request_at_crash.hpp"

#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

namespace cranberrywood {

/**
 * Parts of a query at this owner, and the results not yet sent to the entry VM.
 */
struct owned_query
{
    vm_id entry;
    /** The request as received, without its asks. */
    owner_request request;
    time_point deadline;
    /** Asks without a result, with the servers that they were assigned to. */
    std::unordered_map<sub_request_id, backend_server_id> open_asks;
    std::vector<shard_result> results;
    std::vector<held_versions> versions;
    std::vector<hit> hits;
    bool queued_for_flush = false;
};

/**
 * Collects the results of the parts of each query and sends them to its entry
 * VM: one message per query and batch, with the best hits merged. Only hits of
 * the query's own index version may be added.
 */
class reply_merger
{
public:
    using query_pointer = std::shared_ptr<owned_query>;

    /**
     * Returns the record of a query; creates one when the query has no open
     * asks.
     */
    query_pointer record(vm_id entry, const owner_request& request,
                         time_point now);

    /** Returns the records of a query, one for each snapshot it uses. */
    std::vector<query_pointer> find(vm_id entry, query_id query) const;

    /** Stores the result of an open ask and closes the ask. */
    void finish(const query_pointer& query, const shard_result& result);

    /** Adds the hits of a completed part. */
    static void add_hits(owned_query& query, std::vector<hit> hits);

    /**
     * Reports the versions that a server holds to the entry VM, when they
     * changed or a report is due.
     */
    void report_versions(owned_query& query, const held_versions& held,
                         time_point now);

    /** Sends all results collected since the last call. */
    void flush(outbox& out);

    /** Returns the parts completed since the last call. */
    std::vector<completed_part> take_completed();

    /** Returns the number of queries with open asks. */
    std::size_t size() const
    {
        return m_queries.size();
    }

private:
    struct reported_versions
    {
        held_versions held;
        time_point at;
    };
    // A query that restarts on another snapshot must not share a record.
    using query_key =
        std::tuple<vm_id, query_id, index_version, shard_map_version>;

    static query_key key_of(vm_id entry, const owner_request& request);
    void mark_for_flush(const query_pointer& query);
    void add_completed(const owned_query& query, shard_id shard);

    std::map<query_key, query_pointer> m_queries;
    std::vector<query_pointer> m_to_flush;
    std::map<std::pair<vm_id, backend_server_id>, reported_versions> m_reported;
    std::vector<completed_part> m_completed;
};

} // namespace cranberrywood

#endif
