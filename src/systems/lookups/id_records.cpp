#include "systems/lookups/id_records.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Maximum number of records at which new requests are still sent. */
constexpr std::size_t max_records = 16384;
/** Additional records for ids that are refused above this number. */
constexpr std::size_t max_refused_records = 4096;
/** Maximum number of asks that wait for one record. */
constexpr std::size_t max_waiters = 16;
/** Maximum sends of a request, each after proof that the last did not start. */
constexpr std::uint32_t max_sends = 4;
/** Records in one part of a hand-over. */
constexpr std::size_t records_per_part = 64;
/** Interval between sweeps for expired records. */
constexpr duration sweep_interval = std::chrono::seconds(1);
/** Time for which a refusal received by hand-over is final. */
constexpr duration handed_over_refusal_time = std::chrono::seconds(10);

} // namespace

id_records::id_records(node_identity self, role_view& roles,
                       replica_picker& picker)
    : m_self(std::move(self)), m_roles(roles), m_picker(picker)
{
}

void id_records::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_groups.settings_changed(settings->fleet());
    m_settings = std::move(settings);
}

void id_records::start(role_group_id group, time_point now)
{
    if (const auto records = m_groups.start(group, now)) {
        insert(group, *records, now);
    }
}

void id_records::receive_handover(const record_handover& part, time_point now)
{
    if (const auto records = m_groups.add_part(part, now)) {
        insert(part.group, *records, now);
    }
}

void id_records::stop(role_group_id group)
{
    m_groups.stop(group);
    m_records.drop(group);
}

void id_records::drain(role_group_id group)
{
    m_groups.drain(group);
}

bool id_records::drained(role_group_id group) const
{
    return !m_records.runs(group);
}

std::vector<record_handover> id_records::hand_over(role_group_id group,
                                                   time_point now)
{
    if (!m_groups.is_held(group)) {
        return {};
    }
    record_handover part;
    part.group = group;
    part.number = stable_hash(m_self.process.value(), ++m_handovers);
    part.complete_for = m_groups.complete_for(group, now);
    std::vector<record_handover> parts(1, part);
    for (const auto* r : m_records.of(group, m_groups.record_life(), now)) {
        if (parts.back().records.size() == records_per_part) {
            parts.push_back(part);
        }
        parts.back().records.push_back(export_record(*r, now));
    }
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        parts[i].part = i;
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    stop(group);
    return parts;
}

void id_records::receive(vm_id from, const lookup_ask& ask, time_point now,
                         outbox& out)
{
    const bool late = ask.time_left <= duration(0);
    const duration left =
        late ? duration(0) : m_groups.with_drift(ask.time_left);
    const lookup_waiter w{from, ask.query, now + left};
    const role_group_id group = m_roles.map().id_group(ask.request);
    if (!m_groups.is_held(group) || !m_roles.holds(group, now)) {
        answer_directly(w, ask, lookup_outcome::not_id_owner, reason::no_owner,
                        out);
        return;
    }
    id_record* r = m_records.find(ask.request, m_groups.record_life(), now);
    if (r == nullptr) {
        handle_first_ask(w, ask, group, now, out);
    } else {
        handle_repeated_ask(*r, w, out);
    }
}

bool id_records::owns(query_id query) const
{
    return query.origin == m_self.process &&
           (query.sequence & id_records_bit) != 0;
}

void id_records::receive(vm_id from, const owner_reply& reply, time_point now,
                         outbox& out)
{
    id_record* r = m_records.find_run(reply.query);
    if (r == nullptr || r->target.owner != from) {
        return;
    }
    for (const auto& result : reply.results) {
        if (result.id == r->sub) {
            handle_result(*r, result, reply, now, out);
            return;
        }
    }
}

void id_records::peer_restarted(vm_id vm, outbox& out)
{
    const std::set<request_id> running = m_records.running();
    for (const auto& id : running) {
        id_record& r = m_records.at(id);
        if (r.target.owner == vm) {
            error_detail error = error_at(step::owner, reason::link_lost);
            error.peer = vm;
            end(r, lookup_outcome::unknown, error, out);
        }
    }
}

void id_records::tick(time_point now, outbox& out)
{
    m_groups.tick(now);
    const std::set<request_id> running = m_records.running();
    for (const auto& id : running) {
        id_record& r = m_records.at(id);
        if (now >= r.deadline) {
            error_detail error =
                error_at(step::backend_server, reason::deadline_passed);
            error.peer = r.target.owner;
            error.backend_server = r.target.backend_server;
            end(r, lookup_outcome::unknown, error, out);
        }
    }
    if (now - m_last_sweep >= sweep_interval) {
        m_last_sweep = now;
        m_records.sweep(m_groups.record_life(), now);
    }
}

std::size_t id_records::size() const
{
    return m_records.size();
}

std::size_t id_records::in_flight() const
{
    return m_records.running().size();
}

void id_records::insert(role_group_id group,
                        const std::vector<lookup_record>& list, time_point now)
{
    for (const auto& old : list) {
        insert(group, old, now);
    }
}

void id_records::insert(role_group_id group, const lookup_record& old,
                        time_point now)
{
    id_record& r = m_records.make(old.request, group, now);
    r.made = now - (old.age - (m_groups.with_drift(old.age) - old.age));
    r.state = record_state::ended;
    if (old.outcome == lookup_outcome::not_run) {
        r.state = record_state::refused;
        r.refused_until = now + handed_over_refusal_time;
    }
    r.reply.outcome = old.outcome;
    r.reply.error = error_at(step::id_owner, reason::link_lost);
    r.reply.covers = old.covers;
    r.reply.hits = old.hits;
}

lookup_record id_records::export_record(const id_record& r,
                                        time_point now) const
{
    lookup_record old;
    old.request = r.reply.request;
    old.outcome = r.reply.outcome;
    if (r.state == record_state::running) {
        old.outcome = lookup_outcome::unknown;
    }
    old.age = now - r.made;
    old.covers = r.reply.covers;
    old.hits = r.reply.hits;
    return old;
}

void id_records::handle_first_ask(const lookup_waiter& w, const lookup_ask& ask,
                                  role_group_id group, time_point now,
                                  outbox& out)
{
    if (m_groups.is_draining(group)) {
        answer_directly(w, ask, lookup_outcome::not_id_owner,
                        reason::shutting_down, out);
        return;
    }
    if (m_records.size() >= max_records) {
        refuse_over_capacity(w, ask, group, now, out);
        return;
    }
    id_record& r = m_records.make(ask.request, group, now);
    if (!m_groups.may_miss_records(group, now)) {
        begin(r, w, ask, now, out);
        return;
    }
    r.state = record_state::ended;
    r.reply.outcome = lookup_outcome::unknown;
    r.reply.error = error_at(step::id_owner, reason::id_unknown_after_takeover);
    answer(r, w, out);
}

void id_records::handle_repeated_ask(id_record& r, const lookup_waiter& w,
                                     outbox& out)
{
    if (r.state == record_state::running && r.waiters.size() < max_waiters) {
        r.waiters.push_back(w);
        r.deadline = std::max(r.deadline, w.deadline);
    } else {
        answer(r, w, out);
    }
}

// Evicting a record to make room could let its request run twice.
void id_records::refuse_over_capacity(const lookup_waiter& w,
                                      const lookup_ask& ask,
                                      role_group_id group, time_point now,
                                      outbox& out)
{
    if (m_groups.may_miss_records(group, now) ||
        m_records.size() >= max_records + max_refused_records) {
        answer_directly(w, ask, lookup_outcome::unknown, reason::overloaded,
                        out);
        return;
    }
    id_record& r = m_records.make(ask.request, group, now);
    r.waiters.push_back(w);
    refuse(r, error_at(step::id_owner, reason::overloaded), out);
}

void id_records::begin(id_record& r, const lookup_waiter& w,
                       const lookup_ask& ask, time_point now, outbox& out)
{
    r.ask = ask;
    r.deadline = w.deadline;
    r.sends = 0;
    r.excluded.clear();
    r.waiters.assign(1, w);
    r.reply.outcome = lookup_outcome::unknown;
    send(r, now, out);
}

void id_records::send(id_record& r, time_point now, outbox& out)
{
    if (now >= r.deadline) {
        refuse(r, error_at(step::id_owner, reason::deadline_passed), out);
        return;
    }
    if (r.sends == max_sends || !m_roles.holds(r.group, now)) {
        refuse(r, error_at(step::id_owner, reason::overloaded), out);
        return;
    }
    const auto target = m_picker.pick(r.ask, r.excluded, now);
    if (!target || !target->owner.is_set()) {
        refuse(r, error_at(step::routing, reason::no_owner), out);
        return;
    }
    ++m_sequence;
    r.sends += 1;
    r.target = *target;
    m_records.begin_run(r, {m_self.process, m_sequence},
                        {m_self.process, m_sequence});
    owner_request request;
    request.query = r.run;
    request.workspace = r.ask.workspace;
    request.service = r.ask.service;
    request.map = target->map;
    request.index = target->index;
    request.revision = r.ask.revision;
    request.time_left = r.deadline - now;
    request.repeatable = false;
    request.print = fingerprint_of(r.ask.workspace, r.ask.service, r.ask.body);
    request.hit_limit = r.ask.hit_limit;
    request.body = r.ask.body;
    request.asks = {{r.sub, target->shard, target->backend_server}};
    out.to_peer(target->owner, std::move(request));
}

// A result that arrives after its request was answered as unknown is kept for
// resends.
void id_records::handle_result(id_record& r, const shard_result& result,
                               const owner_reply& reply, time_point now,
                               outbox& out)
{
    m_records.end_run(r.run);
    error_detail error = error_at(step::backend_server, reason::server_failed);
    error.peer = r.target.owner;
    error.backend_server = r.target.backend_server;
    if (result.outcome == shard_outcome::done) {
        handle_done(r, reply, out);
    } else if (proves_not_started(result.outcome)) {
        handle_not_started(r, result, now, out);
    } else if (result.outcome == shard_outcome::failed) {
        end(r, lookup_outcome::failed, error, out);
    } else {
        error.why = reason::link_lost;
        end(r, lookup_outcome::unknown, error, out);
    }
}

void id_records::handle_done(id_record& r, const owner_reply& reply,
                             outbox& out)
{
    const key_range keys = r.target.keys;
    r.reply.hits = reply.hits;
    r.reply.covers.map = r.target.map;
    r.reply.covers.index = reply.index;
    r.reply.covers.covered_keys = keys.size();
    r.reply.covers.total_keys = keys.size();
    r.reply.covers.shards = {
        {r.target.shard, keys.first, keys.last, true, false}};
    end(r, lookup_outcome::done, {}, out);
}

void id_records::handle_not_started(id_record& r, const shard_result& result,
                                    time_point now, outbox& out)
{
    if (r.state == record_state::ended) {
        r.state = record_state::refused;
        r.refused_until = now;
    } else if (result.outcome == shard_outcome::too_late) {
        refuse(r, error_at(step::owner, reason::deadline_passed), out);
    } else if (result.outcome == shard_outcome::rule_refused) {
        refuse(r, error_at(step::owner, reason::rule_refused), out);
    } else {
        retry_elsewhere(r, result, now, out);
    }
}

void id_records::retry_elsewhere(id_record& r, const shard_result& result,
                                 time_point now, outbox& out)
{
    const auto* server = m_settings->find(r.target.backend_server);
    if (result.outcome == shard_outcome::not_owner && server != nullptr) {
        const auto group = m_roles.map().owner_group(*server);
        m_roles.update_believed_holder(group, result.owner_hint);
    }
    if (result.outcome != shard_outcome::not_owner ||
        !result.owner_hint.is_set()) {
        r.excluded.push_back(r.target.backend_server);
    }
    send(r, now, out);
}

void id_records::end(id_record& r, lookup_outcome outcome, error_detail error,
                     outbox& out)
{
    r.state = record_state::ended;
    r.reply.outcome = outcome;
    r.reply.error = std::move(error);
    m_records.end_wait(r);
    answer_waiters(r, out);
}

void id_records::refuse(id_record& r, error_detail error, outbox& out)
{
    r.state = record_state::refused;
    r.reply.outcome = lookup_outcome::not_run;
    r.reply.error = std::move(error);
    m_records.end_wait(r);
    answer_waiters(r, out);
}

// A refusal is final for as long as a VM that received it can forward it to the
// caller; running the request within that time would make the answer false.
void id_records::answer(id_record& r, const lookup_waiter& w, outbox& out)
{
    lookup_reply reply = r.reply;
    reply.query = w.query;
    if (r.state == record_state::running) {
        reply.error = error_at(step::id_owner, reason::overloaded);
    }
    if (r.state == record_state::refused) {
        r.refused_until = std::max(r.refused_until, w.deadline);
    }
    out.to_peer(w.from, std::move(reply));
}

void id_records::answer_waiters(id_record& r, outbox& out)
{
    const std::vector<lookup_waiter> waiters = std::exchange(r.waiters, {});
    for (const auto& w : waiters) {
        answer(r, w, out);
    }
}

error_detail id_records::error_at(step at, reason why) const
{
    error_detail error;
    error.at = at;
    error.why = why;
    error.peer = m_self.vm;
    return error;
}

void id_records::answer_directly(const lookup_waiter& w, const lookup_ask& ask,
                                 lookup_outcome outcome, reason why,
                                 outbox& out) const
{
    lookup_reply reply;
    reply.query = ask.query;
    reply.request = ask.request;
    reply.outcome = outcome;
    reply.error = error_at(step::id_owner, why);
    out.to_peer(w.from, std::move(reply));
}

} // namespace cranberrywood
