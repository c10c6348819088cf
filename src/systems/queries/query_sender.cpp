#include "systems/queries/query_sender.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Shortest time between two looks at a query that is not answered yet. */
constexpr duration shortest_pause = 1ms;
/** Interval between looks for stragglers after the first one. */
constexpr duration straggler_interval = 5ms;
/** Share of the deadline after which to hedge when no estimate exists. */
constexpr int unknown_latency_divisor = 4;

} // namespace

query_sender::query_sender(const node_identity& self, random_source& random,
                           const query_policies& use)
    : m_self(self), m_use(use),
      m_router(use.roles, use.rights, use.replicas, use.pins, random)
{
}

void query_sender::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_router.settings_changed(settings);
    m_settings = std::move(settings);
}

// An attempt at a VM that does not own the server says nothing about the
// server; it must not count as a send to it.
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
    send_batch batch;
    std::size_t sent = 0;
    for (std::size_t i = 0; i < row.shards.size(); ++i) {
        if (row.shards[i].settled()) {
            continue;
        }
        if (attempt(row, i, purpose::first, now, batch)) {
            ++sent;
        }
    }
    count_first_sends(row, sent);
    flush(row, batch, now, out);
}

void query_sender::count_first_sends(const query_row& row, std::size_t sends)
{
    const auto* service = m_settings->find(row.request.service);
    m_counts.first_sends += sends;
    m_use.budget.first_sends(sends, service->extra_send_percent);
}

// A first send may go to a cold server, since its window protects it; a
// second one may not, since it would take the room of a first one there.
bool query_sender::attempt(query_row& row, std::size_t shard, purpose why,
                           time_point now, send_batch& batch)
{
    query_shard_row& part = row.shards[shard];
    part.retry_at.reset();
    const auto route = m_router.find(row, part, why == purpose::first, now);
    if (!route) {
        if (why != purpose::hedge && part.attempts.size() < max_attempts) {
            part.retry_at = now + owner_retry_pause;
        }
        return false;
    }
    const sub_request_id id{m_self.process, m_next_sub_request++};
    part.attempts.push_back(
        {id, route->backend_server, route->owner, now, true});
    m_use.replicas.sent(route->backend_server);
    row.shard_of.emplace(id, shard);
    ++row.unproved_attempts;
    batch[route->owner].push_back({id, part.shard, route->backend_server});
    return true;
}

void query_sender::flush(query_row& row, const send_batch& batch,
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
    const bool may_hedge = m_use.repeats.may_hedge(row.request.print, now);
    send_batch batch;
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
    flush(row, batch, now, out);
}

// The first send of a shard that found no owner is no retry of a server, so
// the budget does not limit it.
void query_sender::send_retry(query_row& row, std::size_t shard, time_point now,
                              send_batch& batch)
{
    const bool first = row.shards[shard].attempts.empty();
    if (!first && !m_use.budget.take()) {
        row.shards[shard].retry_at = now + owner_retry_pause;
        return;
    }
    if (attempt(row, shard, first ? purpose::first : purpose::retry, now,
                batch)) {
        if (first) {
            count_first_sends(row, 1);
        } else {
            ++m_counts.retries;
        }
    }
}

void query_sender::send_hedge(query_row& row, std::size_t shard, time_point now,
                              send_batch& batch)
{
    if (m_router.usable_replicas(row, row.shards[shard]).empty() ||
        !m_use.budget.take()) {
        return;
    }
    if (attempt(row, shard, purpose::hedge, now, batch)) {
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
            due = std::min(due, std::max(hedge, now + straggler_interval));
        }
    }
    return std::max(due, now + shortest_pause);
}

duration query_sender::hedge_delay(const query_row& row) const
{
    const service_id service = row.request.service;
    const double quantile =
        hedge_quantile_for(m_settings->find(service)->extra_send_percent);
    const auto known = m_use.latencies.quantile(service, quantile);
    const duration allowed = row.request.deadline - row.request.arrived;
    return known.value_or(allowed / unknown_latency_divisor);
}

} // namespace cranberrywood
