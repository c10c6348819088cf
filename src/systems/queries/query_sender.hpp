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

/**
 * Components that decide where and when to send. They must outlive the objects
 * that refer to them.
 */
struct query_policies
{
    role_view& roles;
    const rights_check& rights;
    resend_policy& resends;
    latency_estimate& latencies;
    extra_send_budget& budget;
    replica_choice& replicas;
    version_pins& pins;
};

/** Send counters since the process started, for metrics. */
struct send_counts
{
    std::uint64_t first_sends = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

/** Time reserved for returning the answer to the caller before the deadline. */
constexpr duration answer_margin = std::chrono::milliseconds(3);
/** Delay before a sub-request whose owner was not found is retried. */
constexpr duration owner_retry_delay = std::chrono::milliseconds(20);
/** Maximum number of sends per shard, including hedges and retries. */
constexpr std::size_t max_attempts = 6;

/**
 * Sends the sub-requests of a query to the owners of the chosen replicas: first
 * sends, hedges of stragglers, and due retries.
 */
class query_sender
{
public:
    query_sender(const node_identity& self, random_source& random,
                 const query_policies& policies);

    /** Applies a settings revision. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Sends the first sub-request of every unsettled shard. */
    void send_first(query_row& row, time_point now, outbox& out);

    /** Sends the hedges and retries that are due. */
    void send_due(query_row& row, time_point now, outbox& out);

    /** Returns when the next hedge, retry or answer of a query may be due. */
    time_point next_check_time(const query_row& row, time_point now) const;

    /**
     * Removes an attempt that was sent to a VM which is not the owner, and
     * stores the owner named in the result.
     */
    void discard_attempt(query_shard_row& shard, const shard_result& result);

    /** Returns the send counters. */
    const send_counts& counted() const
    {
        return m_counts;
    }

private:
    using batch_by_owner = std::map<vm_id, std::vector<shard_ask>>;
    enum class send_purpose : std::uint8_t
    {
        first,
        hedge,
        retry
    };

    void count_first_sends(const query_row& row, std::size_t sends);
    bool add_attempt(query_row& row, std::size_t shard, send_purpose why,
                     time_point now, batch_by_owner& batch);
    void send_batched(query_row& row, const batch_by_owner& batch,
                      time_point now, outbox& out);
    void send_retry(query_row& row, std::size_t shard, time_point now,
                    batch_by_owner& batch);
    void send_hedge(query_row& row, std::size_t shard, time_point now,
                    batch_by_owner& batch);
    static bool is_straggling(const query_shard_row& shard,
                              time_point sent_before);
    duration hedge_delay(const query_row& row) const;

    node_identity m_self;
    query_policies m_policies;
    shard_router m_router;
    std::shared_ptr<const settings_index> m_settings;
    std::uint64_t m_next_sub_request = 1;
    send_counts m_counts;
};

} // namespace cranberrywood

#endif
