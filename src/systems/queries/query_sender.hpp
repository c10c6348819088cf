#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_QUERY_SENDER_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_QUERY_SENDER_HPP

#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "systems/queries/extra_send_budget.hpp"
#include "systems/queries/latency_estimate.hpp"
#include "systems/queries/resend_policy.hpp"
#include "systems/queries/shard_router.hpp"

#include <map>

namespace cranberrywood {

/** Parts that decide where and when to send; they outlive their users. */
struct query_policies
{
    role_view& roles;
    const rights_check& rights;
    resend_policy& repeats;
    latency_estimate& latencies;
    extra_send_budget& budget;
    replica_choice& replicas;
    version_pins& pins;
};

/** Counts of sends since the start, for metrics. */
struct send_counts
{
    std::uint64_t first_sends = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

/** Time kept back to bring the answer to the caller before the deadline. */
constexpr duration answer_margin = std::chrono::milliseconds(3);
/** Pause before the retry of a shard whose owner was not found. */
constexpr duration owner_retry_pause = std::chrono::milliseconds(20);
/** Sends of one shard's part, hedges and retries included. */
constexpr std::size_t max_attempts = 6;

/**
 * Sends the parts of a query to the owners of the chosen replicas: first
 * sends, hedges of stragglers, and retries that are due.
 */
class query_sender
{
public:
    query_sender(const node_identity& self, random_source& random,
                 const query_policies& use);

    /** Puts a settings revision in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Sends the part of every shard that needs one. */
    void send_first(query_row& row, time_point now, outbox& out);

    /** Sends the hedges and retries that are due. */
    void send_due(query_row& row, time_point now, outbox& out);

    /** Returns when something may be due for a query, or its deadline. */
    time_point next_check_time(const query_row& row, time_point now) const;

    /** Forgets an attempt that found no owner, and learns the owner. */
    void discard_attempt(query_shard_row& shard, const shard_result& result);

    /** Returns the counts since the start. */
    const send_counts& counted() const
    {
        return m_counts;
    }

private:
    using send_batch = std::map<vm_id, std::vector<shard_ask>>;
    enum class purpose : std::uint8_t
    {
        first,
        hedge,
        retry
    };

    void count_first_sends(const query_row& row, std::size_t sends);
    bool attempt(query_row& row, std::size_t shard, purpose why, time_point now,
                 send_batch& batch);
    void flush(query_row& row, const send_batch& batch, time_point now,
               outbox& out);
    void send_retry(query_row& row, std::size_t shard, time_point now,
                    send_batch& batch);
    void send_hedge(query_row& row, std::size_t shard, time_point now,
                    send_batch& batch);
    static bool is_straggling(const query_shard_row& shard,
                              time_point sent_before);
    duration hedge_delay(const query_row& row) const;

    node_identity m_self;
    query_policies m_use;
    shard_router m_router;
    std::shared_ptr<const settings_index> m_settings;
    std::uint64_t m_next_sub_request = 1;
    send_counts m_counts;
};

} // namespace cranberrywood

#endif
