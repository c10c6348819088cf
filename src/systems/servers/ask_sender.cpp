#include "systems/servers/ask_sender.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Requests at a cold server end this long before the lease expires, to allow
// for network delay and clock differences.
constexpr duration lease_end_margin = std::chrono::milliseconds(200);

shard_outcome outcome_of(backend_outcome o)
{
    switch (o) {
    case backend_outcome::done:
        return shard_outcome::done;
    case backend_outcome::shed:
        return shard_outcome::shed;
    case backend_outcome::draining:
        return shard_outcome::out_of_service;
    case backend_outcome::version_gone:
        return shard_outcome::version_gone;
    case backend_outcome::cancelled:
        return shard_outcome::cancelled;
    case backend_outcome::failed:
        break;
    }
    return shard_outcome::failed;
}

void update_window(server_window& window, shard_outcome outcome,
                   duration latency, time_point now)
{
    switch (outcome) {
    case shard_outcome::done:
        window.completed(latency, now);
        return;
    case shard_outcome::shed:
        window.shed();
        return;
    case shard_outcome::failed:
        window.failed();
        return;
    default:
        window.released();
        return;
    }
}

backend_request request_for(const queued_ask& item, duration time_left)
{
    const owner_request& from = item.query->request;
    backend_request request;
    request.id = item.ask.id;
    request.service = from.service;
    request.shard = item.ask.shard;
    request.map = from.map;
    request.index = from.index;
    request.time_left = time_left;
    request.repeatable = from.repeatable;
    request.hit_limit = from.hit_limit;
    request.body = from.body;
    return request;
}

} // namespace

ask_sender::ask_sender(const role_view& roles, const send_gate& gate,
                       reply_merger& merger)
    : m_roles(roles), m_gate(gate), m_merger(merger)
{
}

void ask_sender::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

void ask_sender::accept(owned_server* row,
                        const reply_merger::query_pointer& query,
                        const shard_ask& ask, time_point now, outbox& out)
{
    if (const auto refusal = check_refusal(row, query->request, ask, now)) {
        finish(row, query, ask, *refusal);
        return;
    }
    enqueue(*row, {ask, query}, now);
    send_queued(*row, now, out);
}

std::optional<shard_outcome>
ask_sender::check_refusal(const owned_server* row, const owner_request& request,
                          const shard_ask& ask, time_point now) const
{
    if (row == nullptr || row->stopping || !m_roles.holds(row->group, now)) {
        return shard_outcome::not_owner;
    }
    if (!row->in_service || row->server_draining) {
        return shard_outcome::out_of_service;
    }
    if (row->draining || row->link == link_state::closed) {
        return shard_outcome::shed;
    }
    return m_gate.forbids(request, ask, now);
}

void ask_sender::enqueue(owned_server& row, queued_ask item, time_point now)
{
    enqueue_options terms;
    terms.workspace = item.query->request.workspace;
    terms.weight = weight_of(terms.workspace);
    terms.deadline = item.query->deadline;
    row.queue.drop_expired(now, row.window.shortest_latency());
    finish_expired(row);
    if (auto evicted = row.queue.push(terms, std::move(item))) {
        ++m_counts.shed;
        finish(&row, evicted->query, evicted->ask, shard_outcome::shed);
    }
}

void ask_sender::send_queued(owned_server& row, time_point now, outbox& out)
{
    release_orphans(row, now);
    while (row.link == link_state::up && row.window.has_room()) {
        auto next = row.queue.pop(now, row.window.shortest_latency());
        finish_expired(row);
        if (!next) {
            return;
        }
        if (!can_send(row, now)) {
            finish(&row, next->query, next->ask, shard_outcome::not_owner);
            continue;
        }
        const auto refusal =
            m_gate.forbids(next->query->request, next->ask, now);
        if (refusal) {
            finish(&row, next->query, next->ask, *refusal);
            continue;
        }
        if (!may_share(row, next->query->request.print, now)) {
            finish(&row, next->query, next->ask, shard_outcome::shed);
            continue;
        }
        send(row, *next, now, out);
    }
}

bool ask_sender::may_share(const owned_server& row, fingerprint print,
                           time_point now) const
{
    std::vector<fingerprint> others;
    for (const auto& [id, sent] : row.in_flight) {
        others.push_back(sent.request.print);
    }
    return m_gate.may_share(print, others, now);
}

void ask_sender::send(owned_server& row, const queued_ask& item, time_point now,
                      outbox& out)
{
    in_flight_ask sent;
    sent.ask = item.ask;
    sent.query = item.query;
    sent.request = {item.query->request.print, item.query->entry};
    sent.sent_at = now;
    sent.deadline = item.query->deadline;
    const duration time_left = time_limit(row, *item.query, now);
    sent.ends_at = now + time_left;
    out.issue(send_to_backend{row.id, request_for(item, time_left)});
    row.in_flight.emplace(item.ask.id, std::move(sent));
    row.window.sent();
    row.last_active_at = now;
    ++m_counts.sent;
}

bool ask_sender::can_send(const owned_server& row, time_point now) const
{
    if (!m_roles.holds(row.group, now)) {
        return false;
    }
    return !row.window.cold() ||
           m_roles.held_until(row.group) - now > lease_end_margin;
}

// A cold server must not work for its former and its next owner at the same
// time, so requests to it end before the lease expires.
duration ask_sender::time_limit(const owned_server& row,
                                const owned_query& query, time_point now) const
{
    const duration left = query.deadline - now;
    if (!row.window.cold()) {
        return left;
    }
    return std::min(left,
                    m_roles.held_until(row.group) - now - lease_end_margin);
}

void ask_sender::replied(owned_server& row, backend_reply reply, time_point now)
{
    const auto found = row.in_flight.find(reply.id);
    if (found == row.in_flight.end()) {
        ++m_counts.unmatched_replies;
        return;
    }
    const in_flight_ask sent = std::move(found->second);
    row.in_flight.erase(found);
    row.last_active_at = now;
    row.versions = {row.id, reply.oldest, reply.newest};
    process_reply(row, sent, std::move(reply), now);
}

// Only hits of the pinned index version are merged. A reply from another index
// version counts as a failure, since the server did run the request.
void ask_sender::process_reply(owned_server& row, const in_flight_ask& sent,
                               backend_reply reply, time_point now)
{
    shard_outcome outcome = outcome_of(reply.outcome);
    if (sent.cancelled && outcome != shard_outcome::done) {
        row.window.released();
    } else {
        update_window(row.window, outcome, now - sent.sent_at, now);
    }
    if (reply.outcome == backend_outcome::draining) {
        row.server_draining = true;
        row.server_draining_since = now;
        end_queue(row, shard_outcome::out_of_service);
    }
    if (!sent.query) {
        return;
    }
    m_merger.report_versions(*sent.query, row.versions, now);
    if (outcome == shard_outcome::done &&
        reply.index != sent.query->request.index) {
        ++m_counts.other_version_replies;
        outcome = shard_outcome::failed;
    }
    if (outcome == shard_outcome::done) {
        reply_merger::add_hits(*sent.query, std::move(reply.hits));
    }
    finish(&row, sent.query, sent.ask, outcome);
}

// A non-repeatable request is not cancelled at the server, as the cancellation
// would leave unknown whether it ran.
void ask_sender::cancel(owned_server& row,
                        const reply_merger::query_pointer& query,
                        sub_request_id id, outbox& out)
{
    const auto waiting = row.queue.take_if(
        [&](const queued_ask& item) { return item.ask.id == id; });
    for (const auto& item : waiting) {
        finish(&row, query, item.ask, shard_outcome::cancelled);
    }
    const auto sent = row.in_flight.find(id);
    if (sent != row.in_flight.end() && query->request.repeatable) {
        sent->second.cancelled = true;
        out.issue(cancel_at_backend{row.id, {id}});
    }
}

void ask_sender::end_queue(owned_server& row, shard_outcome outcome)
{
    for (const auto& item : row.queue.take_all()) {
        finish(&row, item.query, item.ask, outcome);
    }
}

std::vector<request_at_crash> ask_sender::fail_in_flight(owned_server& row)
{
    std::vector<request_at_crash> requests;
    for (const auto& [id, sent] : row.in_flight) {
        requests.push_back(sent.request);
        row.orphan_ends.push_back(sent.ends_at);
        if (sent.query) {
            finish(&row, sent.query, sent.ask, shard_outcome::unknown);
        }
    }
    row.in_flight.clear();
    return requests;
}

void ask_sender::clear_orphans(owned_server& row)
{
    row.orphan_ends.clear();
    row.window.clear_in_flight();
}

void ask_sender::release_orphans(owned_server& row, time_point now)
{
    const auto ended =
        std::remove_if(row.orphan_ends.begin(), row.orphan_ends.end(),
                       [now](time_point end) { return end <= now; });
    for (auto it = ended; it != row.orphan_ends.end(); ++it) {
        row.window.released();
    }
    row.orphan_ends.erase(ended, row.orphan_ends.end());
}

void ask_sender::tick(owned_server& row, time_point now, outbox& out)
{
    row.queue.drop_expired(now, row.window.shortest_latency());
    finish_expired(row);
    for (auto& [id, sent] : row.in_flight) {
        const bool overdue = sent.query && now >= sent.deadline;
        if (overdue && sent.query->request.repeatable) {
            abandon(row, sent, out);
        }
    }
    send_queued(row, now, out);
}

// The request occupies the window until the server answers, as it may still
// be running.
void ask_sender::abandon(owned_server& row, in_flight_ask& sent, outbox& out)
{
    out.issue(cancel_at_backend{row.id, {sent.ask.id}});
    finish(&row, sent.query, sent.ask, shard_outcome::unknown);
    sent.query = nullptr;
    sent.cancelled = true;
}

void ask_sender::finish_expired(owned_server& row)
{
    for (const auto& item : row.queue.take_expired()) {
        ++m_counts.late;
        finish(&row, item.query, item.ask, shard_outcome::too_late);
    }
}

void ask_sender::finish(const owned_server* row,
                        const reply_merger::query_pointer& query,
                        const shard_ask& ask, shard_outcome outcome)
{
    shard_result result;
    result.id = ask.id;
    result.shard = ask.shard;
    result.backend_server = ask.backend_server;
    result.outcome = outcome;
    if (row != nullptr) {
        result.queue_length = row->load();
        result.cold = row->window.cold();
    }
    if (outcome == shard_outcome::not_owner) {
        result.owner_hint = holder_of(ask.backend_server);
    }
    m_merger.finish(query, result);
}

std::uint32_t ask_sender::weight_of(workspace_id workspace) const
{
    const auto* found = m_settings->find(workspace);
    return found == nullptr ? 1 : found->weight;
}

vm_id ask_sender::holder_of(backend_server_id server) const
{
    const auto* known = m_settings ? m_settings->find(server) : nullptr;
    if (known == nullptr) {
        return {};
    }
    return m_roles.believed_holder(m_roles.map().owner_group(*known));
}

void ask_sender::count_unmatched()
{
    ++m_counts.unmatched_replies;
}

void ask_sender::count_repeated()
{
    ++m_counts.repeated_asks;
}

const dispatch_counts& ask_sender::counts() const
{
    return m_counts;
}

} // namespace cranberrywood
