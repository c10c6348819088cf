#include "systems/query_coordinator.hpp"

#include "systems/hit_merge.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time kept back to bring the answer to the caller before the deadline. */
constexpr duration answer_margin = 3ms;
/** Pause before the retry of a shard whose owner was not found. */
constexpr duration owner_retry_pause = 20ms;
/** Pause before the retry of a shard that a server shed. */
constexpr duration shed_retry_pause = 5ms;
/** Shortest time between two looks at a query that is not answered yet. */
constexpr duration shortest_pause = 1ms;
/** Interval between looks for stragglers after the first one. */
constexpr duration straggler_interval = 5ms;
/** Sends of one shard's part, hedges and retries included. */
constexpr std::size_t max_attempts = 6;
/** Share of the deadline after which to hedge when no estimate exists. */
constexpr int unknown_latency_divisor = 4;

} // namespace

query_coordinator::query_coordinator(const node_identity& self,
                                     random_source& random, policies use)
    : m_self(self), m_use(use),
      m_router(use.roles, use.rights, use.replicas, use.pins, random)
{
}

void query_coordinator::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_router.settings_changed(settings);
    m_settings = std::move(settings);
}

void query_coordinator::start(admitted_request request, time_point now,
                              outbox& out)
{
    query_row row;
    row.id = {m_self.process, m_next_query++};
    row.request = std::move(request);
    pin(row);
    query_row& stored = m_queries.add(std::move(row));
    send_first(stored, now, out);
    progress(stored, now, out);
}

void query_coordinator::pin(query_row& row)
{
    const service_id service = row.request.service;
    row.map = m_settings->find(service)->map;
    row.index = m_use.pins.pin(service, *m_settings);
    row.shards.clear();
    row.shard_of.clear();
    row.hits.clear();
    row.unsettled = 0;
    for (const shard_id id : m_settings->shards_of(service)) {
        query_shard_row shard;
        shard.shard = id;
        shard.keys = m_settings->find(id)->keys;
        shard.left_out_by_rule =
            m_use.rights.leaves_out(row.request.rights.workspace, service, id);
        row.unsettled += shard.settled() ? 0 : 1;
        row.shards.push_back(std::move(shard));
    }
}

void query_coordinator::send_first(query_row& row, time_point now, outbox& out)
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

void query_coordinator::count_first_sends(const query_row& row,
                                          std::size_t sends)
{
    const auto* service = m_settings->find(row.request.service);
    m_counts.first_sends += sends;
    m_use.budget.first_sends(sends, service->extra_percent);
}

// A first send may go to a cold server, since its window protects it; a
// second one may not, since it would take the room of a first one there.
bool query_coordinator::attempt(query_row& row, std::size_t shard, purpose why,
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

void query_coordinator::flush(query_row& row, const send_batch& batch,
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

void query_coordinator::receive(vm_id from, const owner_reply& reply,
                                time_point now, outbox& out)
{
    for (const auto& held : reply.versions) {
        m_use.pins.observe(held, now);
    }
    query_row* row = m_queries.find(reply.query);
    if (row == nullptr) {
        ++m_counts.late_replies;
        return;
    }
    if (reply.index != row->index) {
        ++m_counts.wrong_version_replies;
        return;
    }
    bool any_failed = false;
    for (const auto& result : reply.results) {
        if (result.outcome != shard_outcome::done) {
            any_failed = true;
            row->last_error = {step::backend_server,
                               reason_of(result.outcome),
                               from,
                               result.backend_server,
                               {}};
        }
        apply(*row, result, now);
    }
    merge_hits(row->hits, reply.hits, row->request.hit_limit);
    // Looks at all shards only when something has to be planned for them.
    if (any_failed || row->unsettled == 0) {
        progress(*row, now, out);
    }
}

void query_coordinator::apply(query_row& row, const shard_result& result,
                              time_point now)
{
    const auto place = row.shard_of.find(result.id);
    if (place == row.shard_of.end()) {
        ++m_counts.late_replies;
        return;
    }
    query_shard_row& shard = row.shards[place->second];
    const auto attempt =
        std::find_if(shard.attempts.begin(), shard.attempts.end(),
                     [&](const auto& a) { return a.id == result.id; });
    if (!attempt->open) {
        return;
    }
    attempt->open = false;
    const duration took = now - attempt->sent_at;
    m_use.replicas.observe(result, took, now);
    if (proves_not_started(result.outcome)) {
        --row.unproved_attempts;
    }
    if (result.outcome == shard_outcome::done) {
        m_use.latencies.observe(row.request.service, took, now);
        cover(row, shard);
        return;
    }
    plan_retry(row, shard, result, now);
}

void query_coordinator::cover(query_row& row, query_shard_row& shard)
{
    if (!shard.settled()) {
        shard.covered = true;
        --row.unsettled;
    }
}

void query_coordinator::plan_retry(query_row& row, query_shard_row& shard,
                                   const shard_result& result, time_point now)
{
    if (shard.settled() || shard.attempts.size() >= max_attempts) {
        return;
    }
    switch (result.outcome) {
    case shard_outcome::not_owner:
        learn_owner(shard, result);
        shard.retry_at = now + (result.owner_hint.is_set() ? shed_retry_pause
                                                           : owner_retry_pause);
        return;
    case shard_outcome::shed:
        shard.retry_at = now + shed_retry_pause;
        return;
    case shard_outcome::version_gone:
    case shard_outcome::out_of_service:
    case shard_outcome::rule_refused:
        shard.retry_at = now;
        return;
    case shard_outcome::failed:
    case shard_outcome::unknown:
        if (m_use.repeats.may_retry(row.request.print, shard.attempts.size(),
                                    now)) {
            shard.retry_at = now;
        }
        return;
    case shard_outcome::done:
    case shard_outcome::cancelled:
    case shard_outcome::quarantined:
    case shard_outcome::too_late:
        return;
    }
}

// An attempt at a VM that does not own the server says nothing about the
// server; it must not count as a send to it.
void query_coordinator::learn_owner(query_shard_row& shard,
                                    const shard_result& result)
{
    auto& attempts = shard.attempts;
    attempts.erase(
        std::remove_if(attempts.begin(), attempts.end(),
                       [&](const auto& a) { return a.id == result.id; }),
        attempts.end());
    m_router.learn_owner(result);
}

void query_coordinator::caller_gone(caller_token token, time_point now,
                                    outbox& out)
{
    query_row* row = m_queries.find(token);
    if (row == nullptr) {
        return;
    }
    cancel_open(*row, now, out);
    finish(*row);
}

void query_coordinator::peer_restarted(vm_id peer, time_point now, outbox& out)
{
    std::vector<query_id> touched;
    m_queries.for_each([&](query_row& row) {
        for (auto& shard : row.shards) {
            for (auto& attempt : shard.attempts) {
                if (attempt.open && attempt.owner == peer) {
                    attempt.open = false;
                    m_use.replicas.gave_up(attempt.backend_server,
                                           now - attempt.sent_at, now);
                    shard.retry_at = now;
                    touched.push_back(row.id);
                }
            }
        }
    });
    for (const query_id id : touched) {
        if (query_row* row = m_queries.find(id)) {
            progress(*row, now, out);
        }
    }
}

void query_coordinator::tick(time_point now, outbox& out)
{
    m_use.pins.tick(now);
    while (const auto id = m_due.pop_due(now)) {
        if (query_row* row = m_queries.find(*id)) {
            progress(*row, now, out);
        }
    }
}

void query_coordinator::progress(query_row& row, time_point now, outbox& out)
{
    const auto refused =
        m_use.rights.refuses(row.request.rights, row.request.service);
    if (refused) {
        refuse(row, *refused, now, out);
        return;
    }
    if (row.unsettled == 0 || now >= row.request.deadline - answer_margin) {
        answer(row, now, out);
        return;
    }
    send_due(row, now, out);
    if (can_still_gain(row)) {
        schedule(row, now);
        return;
    }
    if (!restart_on_newer(row, now, out)) {
        answer(row, now, out);
    }
}

void query_coordinator::send_due(query_row& row, time_point now, outbox& out)
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
void query_coordinator::send_retry(query_row& row, std::size_t shard,
                                   time_point now, send_batch& batch)
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

void query_coordinator::send_hedge(query_row& row, std::size_t shard,
                                   time_point now, send_batch& batch)
{
    if (m_router.usable(row, row.shards[shard]).empty() ||
        !m_use.budget.take()) {
        return;
    }
    if (attempt(row, shard, purpose::hedge, now, batch)) {
        ++m_counts.hedges;
    }
}

bool query_coordinator::is_straggling(const query_shard_row& shard,
                                      time_point sent_before)
{
    return shard.attempts.size() == 1 && shard.attempts.front().open &&
           shard.attempts.front().sent_at <= sent_before;
}

bool query_coordinator::can_still_gain(const query_row& row) const
{
    return std::any_of(
        row.shards.begin(), row.shards.end(), [](const query_shard_row& s) {
            return !s.settled() && (s.retry_at || s.has_open_attempt());
        });
}

// A query starts over at most once, when its index version is held no more
// and a newer one is known.
bool query_coordinator::restart_on_newer(query_row& row, time_point now,
                                         outbox& out)
{
    const bool gone = m_settings->find(row.request.service) == nullptr;
    if (gone || row.restarted) {
        return false;
    }
    const auto newest = m_use.pins.pin(row.request.service, *m_settings);
    if (newest <= row.index) {
        return false;
    }
    cancel_open(row, now, out);
    m_due.remove(row.id);
    query_row& renewed =
        m_queries.renumber(row.id, {m_self.process, m_next_query++});
    renewed.restarted = true;
    ++m_counts.restarts;
    pin(renewed);
    send_first(renewed, now, out);
    schedule(renewed, now);
    return true;
}

void query_coordinator::answer(query_row& row, time_point now, outbox& out)
{
    coverage covers = row.covers();
    if (covers.covered_keys == 0 && covers.total_keys != 0) {
        error_detail error = row.last_error;
        if (error.at == step::front) {
            error = {step::routing, reason::no_owner, {}, {}, {}};
        }
        refuse(row, std::move(error), now, out);
        return;
    }
    if (covers.whole()) {
        m_use.repeats.completed_everywhere(row.request.print, out);
    }
    cancel_open(row, now, out);
    out.issue(answer_caller{row.request.token,
                            answered{std::move(row.hits), std::move(covers)}});
    finish(row);
}

void query_coordinator::refuse(query_row& row, error_detail error,
                               time_point now, outbox& out)
{
    cancel_open(row, now, out);
    if (row.unproved_attempts == 0) {
        row.proof.proved_not_started();
    }
    out.issue(answer_caller{row.request.token,
                            to_response(row.proof.refuse(std::move(error)))});
    finish(row);
}

void query_coordinator::cancel_open(const query_row& row, time_point now,
                                    outbox& out)
{
    std::map<vm_id, owner_cancel> cancels;
    for (const auto& shard : row.shards) {
        for (const auto& attempt : shard.attempts) {
            if (attempt.open) {
                m_use.replicas.gave_up(attempt.backend_server,
                                       now - attempt.sent_at, now);
                cancels[attempt.owner].ids.push_back(attempt.id);
            }
        }
    }
    for (auto& [owner, cancel] : cancels) {
        cancel.query = row.id;
        out.to_peer(owner, std::move(cancel));
    }
}

void query_coordinator::finish(const query_row& row)
{
    const query_id id = row.id;
    m_due.remove(id);
    m_queries.remove(id);
}

void query_coordinator::schedule(const query_row& row, time_point now)
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
    m_due.schedule(row.id, std::max(due, now + shortest_pause));
}

duration query_coordinator::hedge_delay(const query_row& row) const
{
    const service_id service = row.request.service;
    const double quantile =
        hedge_quantile_for(m_settings->find(service)->extra_percent);
    const auto known = m_use.latencies.quantile(service, quantile);
    const duration allowed = row.request.deadline - row.request.arrived;
    return known.value_or(allowed / unknown_latency_divisor);
}

} // namespace cranberrywood
