#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_QUERY_COORDINATOR_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_QUERY_COORDINATOR_HPP

#include "systems/queries/query_sender.hpp"
#include "tables/due_queue.hpp"

namespace cranberrywood {

/**
 * Coordinates repeatable queries on the entry VM: fans a query out to the
 * owners of its shards' replicas, hedges stragglers, retries failures, and
 * answers with the covered shards by the deadline.
 */
class query_coordinator
{
public:
    query_coordinator(const node_identity& self, random_source& random,
                      const query_policies& policies);

    /** Applies a settings revision to all further sends. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Starts an admitted query. */
    void start(admitted_request request, time_point now, outbox& out);

    /** Applies the results sent by an owner of backend servers. */
    void receive(vm_id from, const owner_reply& reply, time_point now,
                 outbox& out);

    /** Cancels the query of a disconnected caller. */
    void caller_gone(caller_token token, time_point now, outbox& out);

    /**
     * Abandons open attempts at a VM whose process was restarted, and schedules
     * retries.
     */
    void peer_restarted(vm_id peer, time_point now, outbox& out);

    /**
     * Sends due hedges and retries, and answers queries whose deadline is
     * reached.
     */
    void tick(time_point now, outbox& out);

    /** Returns the number of queries in flight. */
    std::size_t in_flight() const
    {
        return m_queries.size();
    }

    /** Counters since the process started, for metrics. */
    struct counts
    {
        std::uint64_t restarts = 0;
        std::uint64_t late_replies = 0;
        std::uint64_t wrong_version_replies = 0;
    };
    const counts& counted() const
    {
        return m_counts;
    }
    const send_counts& sends() const
    {
        return m_sender.counted();
    }

private:
    void pin_snapshot(query_row& row);
    void apply_result(query_row& row, const shard_result& result,
                      time_point now);
    void plan_retry(query_row& row, query_shard_row& shard,
                    const shard_result& result, time_point now);
    static void mark_covered(query_row& row, query_shard_row& shard);
    void advance(query_row& row, time_point now, outbox& out);
    bool has_pending_shards(const query_row& row) const;
    bool restart_on_newer_index(query_row& row, time_point now, outbox& out);
    void answer(query_row& row, time_point now, outbox& out);
    void refuse(query_row& row, error_detail error, time_point now,
                outbox& out);
    void cancel_open_attempts(const query_row& row, time_point now,
                              outbox& out);
    void finish(const query_row& row);

    node_identity m_self;
    query_policies m_policies;
    query_sender m_sender;
    std::shared_ptr<const settings_index> m_settings;
    query_table m_queries;
    due_queue<query_id> m_due;
    std::uint64_t m_next_query = 1;
    counts m_counts;
};

} // namespace cranberrywood

#endif
