#include "systems/queries/query_sender.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Minimum interval between checks of a query in flight. */
constexpr duration min_check_interval = 1ms;
/** Minimum delay until the next check for stragglers. */
constexpr duration straggler_check_interval = 5ms;
/**
 * Without a latency estimate, sub-requests are hedged after this fraction (1/n)
 * of the deadline.
 */
constexpr int default_hedge_divisor = 4;

} // namespace

query_sender::query_sender(const node_identity& self, random_source& random,
                           const query_policies& policies)
    : m_self(self), m_policies(policies),
      m_router(policies.roles, policies.rights, policies.replicas,
               policies.pins, random)
{
}

void query_sender::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_router.settings_changed(settings);
    m_settings = std::move(settings);
}

// An attempt that was sent to a VM which does not own the server never reached
// the server, so it must not count as a send to it.
void query_sender::discard_attempt(query_shard_row& shard,
                                   const shard_result& result)
{
    auto& attempts = shard.attempts;
    attempts.erase(
        std::remove_if(attempts.begin(), attempts.end(),
                       [&](const auto& a) { return a.id == result.id; }),
        attempts.end());
    m_router.update_owner(result);
}

void query_sender::send_first(query_row& row, time_point now, outbox& out)
{
    batch_by_owner batch;
    std::size_t sent = 0;
    for (std::size_t i = 0; i < row.shards.size(); ++i) {
        if (row.shards[i].settled()) {
            continue;
        }
        if (add_attempt(row, i, send_purpose::first, now, batch)) {
            ++sent;
        }
    }
    count_first_sends(row, sent);
    send_batched(row, batch, now, out);
}

void query_sender::count_first_sends(const query_row& row, std::size_t sends)
{
    const auto* service = m_settings->find(row.request.service);
    m_counts.first_sends += sends;
    m_policies.budget.first_sends(sends, service->extra_send_percent);
}

// A first send may go to a cold server, as the server's concurrency window
// protects it. Hedges and retries may not, as they would take window slots from
// first sends.
bool query_sender::add_attempt(query_row& row, std::size_t shard,
                               send_purpose why, time_point now,
                               batch_by_owner& batch)
{
    query_shard_row& part = row.shards[shard];
    part.retry_at.reset();
    const auto route =
        m_router.find(row, part, why == send_purpose::first, now);
    if (!route) {
        if (why != send_purpose::hedge && part.attempts.size() < max_attempts) {
            part.retry_at = now + owner_retry_delay;
        }
        return false;
    }
    const sub_request_id id{m_self.process, m_next_sub_request++};
    part.attempts.push_back(
        {id, route->backend_server, route->owner, now, true});
    m_policies.replicas.sent(route->backend_server);
    row.shard_of.emplace(id, shard);
    ++row.unproved_attempts;
    batch[route->owner].push_back({id, part.shard, route->backend_server});
    return true;
}

void query_sender::send_batched(query_row& row, const batch_by_owner& batch,
                                time_point now, outbox& out)
{
    for (const auto& [owner, asks] : batch) {
        owner_request request;
        request.query = row.id;
        request.workspace = row.request.rights.workspace;
        request.service = row.request.service;
        request.map = row.map;
        request.index = row.index;
        request.revision = row.request.revision;
        request.time_left = row.request.deadline - answer_margin - now;
        request.print = row.request.print;
        request.hit_limit = row.request.hit_limit;
        request.body = row.request.body;
        request.asks = asks;
        row.proof.send();
        out.to_peer(owner, std::move(request));
    }
}

void query_sender::send_due(query_row& row, time_point now, outbox& out)
{
    const duration delay = hedge_delay(row);
    const bool may_hedge = m_policies.resends.may_hedge(row.request.print, now);
    batch_by_owner batch;
    for (std::size_t i = 0; i < row.shards.size(); ++i) {
        query_shard_row& shard = row.shards[i];
        if (shard.settled()) {
            continue;
        }
        if (shard.retry_at && *shard.retry_at <= now) {
            send_retry(row, i, now, batch);
        } else if (may_hedge && is_straggling(shard, now - delay)) {
            send_hedge(row, i, now, batch);
        }
    }
    send_batched(row, batch, now, out);
}

// When no earlier send of the shard found an owner, this is still its first
// send, so the budget does not limit it.
void query_sender::send_retry(query_row& row, std::size_t shard, time_point now,
                              batch_by_owner& batch)
{
    const bool first = row.shards[shard].attempts.empty();
    if (!first && !m_policies.budget.take()) {
        row.shards[shard].retry_at = now + owner_retry_delay;
        return;
    }
    if (add_attempt(row, shard,
                    first ? send_purpose::first : send_purpose::retry, now,
                    batch)) {
        if (first) {
            count_first_sends(row, 1);
        } else {
            ++m_counts.retries;
        }
    }
}

void query_sender::send_hedge(query_row& row, std::size_t shard, time_point now,
                              batch_by_owner& batch)
{
    if (m_router.usable_replicas(row, row.shards[shard]).empty() ||
        !m_policies.budget.take()) {
        return;
    }
    if (add_attempt(row, shard, send_purpose::hedge, now, batch)) {
        ++m_counts.hedges;
    }
}

bool query_sender::is_straggling(const query_shard_row& shard,
                                 time_point sent_before)
{
    return shard.attempts.size() == 1 && shard.attempts.front().open &&
           shard.attempts.front().sent_at <= sent_before;
}

time_point query_sender::next_check_time(const query_row& row,
                                         time_point now) const
{
    time_point due = row.request.deadline - answer_margin;
    const duration delay = hedge_delay(row);
    for (const auto& shard : row.shards) {
        if (shard.settled()) {
            continue;
        }
        if (shard.retry_at) {
            due = std::min(due, *shard.retry_at);
        }
        if (shard.attempts.size() == 1 && shard.attempts.front().open) {
            const time_point hedge = shard.attempts.front().sent_at + delay;
            due =
                std::min(due, std::max(hedge, now + straggler_check_interval));
        }
    }
    return std::max(due, now + min_check_interval);
}

duration query_sender::hedge_delay(const query_row& row) const
{
    const service_id service = row.request.service;
    const double quantile =
        hedge_quantile_for(m_settings->find(service)->extra_send_percent);
    const auto estimate = m_policies.latencies.quantile(service, quantile);
    const duration allowed = row.request.deadline - row.request.arrived;
    return estimate.value_or(allowed / default_hedge_divisor);
}

} // namespace cranberrywood
