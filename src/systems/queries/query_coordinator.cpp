#include "systems/queries/query_coordinator.hpp"

#include "systems/queries/hit_merge.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Delay before a sub-request that a server shed is retried. */
constexpr duration shed_retry_delay = 5ms;

} // namespace

query_coordinator::query_coordinator(const node_identity& self,
                                     random_source& random,
                                     const query_policies& policies)
    : m_self(self), m_policies(policies), m_sender(self, random, policies)
{
}

void query_coordinator::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_sender.settings_changed(settings);
    m_settings = std::move(settings);
}

void query_coordinator::start(admitted_request request, time_point now,
                              outbox& out)
{
    query_row row;
    row.id = {m_self.process, m_next_query++};
    row.request = std::move(request);
    pin_snapshot(row);
    query_row& stored = m_queries.add(std::move(row));
    m_sender.send_first(stored, now, out);
    advance(stored, now, out);
}

void query_coordinator::pin_snapshot(query_row& row)
{
    const service_id service = row.request.service;
    row.map = m_settings->find(service)->map;
    row.index = m_policies.pins.pin(service, *m_settings);
    row.shards.clear();
    row.shard_of.clear();
    row.hits.clear();
    row.unsettled = 0;
    for (const shard_id id : m_settings->shards_of(service)) {
        query_shard_row shard;
        shard.shard = id;
        shard.keys = m_settings->find(id)->keys;
        shard.left_out_by_rule = m_policies.rights.leaves_out(
            row.request.rights.workspace, service, id);
        row.unsettled += shard.settled() ? 0 : 1;
        row.shards.push_back(std::move(shard));
    }
}

void query_coordinator::receive(vm_id from, const owner_reply& reply,
                                time_point now, outbox& out)
{
    for (const auto& held : reply.versions) {
        m_policies.pins.observe(held, now);
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
        apply_result(*row, result, now);
    }
    merge_hits(row->hits, reply.hits, row->request.hit_limit);
    // All shards are scanned only when the query is complete or has a retry to
    // plan.
    if (any_failed || row->unsettled == 0) {
        advance(*row, now, out);
    }
}

void query_coordinator::apply_result(query_row& row, const shard_result& result,
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
    m_policies.replicas.observe(result, took, now);
    if (proves_not_started(result.outcome)) {
        --row.unproved_attempts;
    }
    if (result.outcome == shard_outcome::done) {
        m_policies.latencies.observe(row.request.service, took, now);
        mark_covered(row, shard);
        return;
    }
    plan_retry(row, shard, result, now);
}

void query_coordinator::mark_covered(query_row& row, query_shard_row& shard)
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
        m_sender.discard_attempt(shard, result);
        shard.retry_at = now + (result.owner_hint.is_set() ? shed_retry_delay
                                                           : owner_retry_delay);
        return;
    case shard_outcome::shed:
        shard.retry_at = now + shed_retry_delay;
        return;
    case shard_outcome::version_gone:
    case shard_outcome::out_of_service:
    case shard_outcome::rule_refused:
        shard.retry_at = now;
        return;
    case shard_outcome::failed:
    case shard_outcome::unknown:
        if (m_policies.resends.may_retry(row.request.print,
                                         shard.attempts.size(), now)) {
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

void query_coordinator::caller_gone(caller_token token, time_point now,
                                    outbox& out)
{
    query_row* row = m_queries.find(token);
    if (row == nullptr) {
        return;
    }
    cancel_open_attempts(*row, now, out);
    finish(*row);
}

void query_coordinator::peer_restarted(vm_id peer, time_point now, outbox& out)
{
    std::vector<query_id> affected;
    m_queries.for_each([&](query_row& row) {
        for (auto& shard : row.shards) {
            for (auto& attempt : shard.attempts) {
                if (attempt.open && attempt.owner == peer) {
                    attempt.open = false;
                    m_policies.replicas.record_abandoned(
                        attempt.backend_server, now - attempt.sent_at, now);
                    shard.retry_at = now;
                    affected.push_back(row.id);
                }
            }
        }
    });
    for (const query_id id : affected) {
        if (query_row* row = m_queries.find(id)) {
            advance(*row, now, out);
        }
    }
}

void query_coordinator::tick(time_point now, outbox& out)
{
    m_policies.pins.tick(now);
    while (const auto id = m_due.pop_due(now)) {
        if (query_row* row = m_queries.find(*id)) {
            advance(*row, now, out);
        }
    }
}

void query_coordinator::advance(query_row& row, time_point now, outbox& out)
{
    const auto refused =
        m_policies.rights.find_refusal(row.request.rights, row.request.service);
    if (refused) {
        refuse(row, *refused, now, out);
        return;
    }
    if (row.unsettled == 0 || now >= row.request.deadline - answer_margin) {
        answer(row, now, out);
        return;
    }
    m_sender.send_due(row, now, out);
    if (has_pending_shards(row)) {
        m_due.schedule(row.id, m_sender.next_check_time(row, now));
        return;
    }
    if (!restart_on_newer_index(row, now, out)) {
        answer(row, now, out);
    }
}

bool query_coordinator::has_pending_shards(const query_row& row) const
{
    return std::any_of(
        row.shards.begin(), row.shards.end(), [](const query_shard_row& s) {
            return !s.settled() && (s.retry_at || s.has_open_attempt());
        });
}

// A query restarts at most once, when no shard can make progress on its index
// version and a newer one is known.
bool query_coordinator::restart_on_newer_index(query_row& row, time_point now,
                                               outbox& out)
{
    const bool service_removed =
        m_settings->find(row.request.service) == nullptr;
    if (service_removed || row.restarted) {
        return false;
    }
    const auto newest = m_policies.pins.pin(row.request.service, *m_settings);
    if (newest <= row.index) {
        return false;
    }
    cancel_open_attempts(row, now, out);
    m_due.remove(row.id);
    query_row& renewed =
        m_queries.renumber(row.id, {m_self.process, m_next_query++});
    renewed.restarted = true;
    ++m_counts.restarts;
    pin_snapshot(renewed);
    m_sender.send_first(renewed, now, out);
    m_due.schedule(renewed.id, m_sender.next_check_time(renewed, now));
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
        m_policies.resends.record_full_completion(row.request.print, out);
    }
    cancel_open_attempts(row, now, out);
    out.issue(answer_caller{row.request.token,
                            answered{std::move(row.hits), std::move(covers)}});
    finish(row);
}

void query_coordinator::refuse(query_row& row, error_detail error,
                               time_point now, outbox& out)
{
    cancel_open_attempts(row, now, out);
    if (row.unproved_attempts == 0) {
        row.proof.proved_not_started();
    }
    out.issue(answer_caller{row.request.token,
                            to_response(row.proof.refuse(std::move(error)))});
    finish(row);
}

void query_coordinator::cancel_open_attempts(const query_row& row,
                                             time_point now, outbox& out)
{
    std::map<vm_id, owner_cancel> cancels;
    for (const auto& shard : row.shards) {
        for (const auto& attempt : shard.attempts) {
            if (attempt.open) {
                m_policies.replicas.record_abandoned(
                    attempt.backend_server, now - attempt.sent_at, now);
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

} // namespace cranberrywood
