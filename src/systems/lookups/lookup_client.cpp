#include "systems/lookups/lookup_client.hpp"

namespace cranberrywood {

namespace {

using std::chrono::milliseconds;

/** Time after which an unanswered ask is sent again. */
constexpr duration resend_after = milliseconds(250);
/** Backoff when the VM asked is not the id owner, or no owner is known. */
constexpr duration wrong_owner_backoff = milliseconds(10);
/** Maximum number of asks for one request. */
constexpr std::uint32_t max_asks = 64;

} // namespace

lookup_client::lookup_client(node_identity self, role_view& roles)
    : m_self(std::move(self)), m_roles(roles)
{
}

// An earlier request with the same id may have run, so the request counts as
// sent until the id owner proves that it was not started.
void lookup_client::start(const admitted_request& request, time_point now,
                          outbox& out)
{
    pending& p = m_pending[request.token];
    p.ask.request = *request.lookup;
    p.ask.workspace = request.rights.workspace;
    p.ask.service = request.service;
    p.ask.revision = request.revision;
    p.ask.lookup_key = request.lookup_key;
    p.ask.hit_limit = request.hit_limit;
    p.ask.body = request.body;
    p.deadline = request.deadline;
    p.proof.send();
    p.last_error.at = step::id_owner;
    p.last_error.why = reason::no_owner;
    ask_owner(request.token, p, now, out);
}

bool lookup_client::owns(query_id query) const
{
    return query.origin == m_self.process &&
           (query.sequence & lookup_client_bit) != 0;
}

void lookup_client::receive(vm_id from, const lookup_reply& reply,
                            time_point now, outbox& out)
{
    const auto sent = m_asks.find(reply.query);
    if (sent == m_asks.end()) {
        return;
    }
    const caller_token token = sent->second;
    m_asks.erase(sent);
    const auto found = m_pending.find(token);
    if (found == m_pending.end() || now >= found->second.deadline) {
        return;
    }
    pending& p = found->second;
    p.unanswered -= 1;
    switch (reply.outcome) {
    case lookup_outcome::done:
        finish(token, answered{reply.hits, reply.covers}, out);
        return;
    case lookup_outcome::not_run:
        handle_not_run(token, p, reply, out);
        return;
    case lookup_outcome::unknown:
        finish(token, outcome_unknown{reply.error}, out);
        return;
    case lookup_outcome::failed:
        finish(token, failed{reply.error}, out);
        return;
    case lookup_outcome::not_id_owner:
        p.last_error = reply.error;
        clear_holder(p, from);
        p.ask_again_at = now + wrong_owner_backoff;
        return;
    }
}

void lookup_client::caller_gone(caller_token token)
{
    m_pending.erase(token);
}

// The previous process may have run the request, so its asks stay unanswered.
// Another ask with the same id is safe because the id owner keeps a record.
void lookup_client::peer_restarted(vm_id vm, time_point now, outbox& out)
{
    for (auto& [token, p] : m_pending) {
        if (p.asked == vm && p.unanswered > 0 && now < p.deadline) {
            clear_holder(p, vm);
            ask_owner(token, p, now, out);
        }
    }
}

void lookup_client::tick(time_point now, outbox& out)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const auto next = std::next(it);
        auto& [token, p] = *it;
        if (now >= p.deadline) {
            error_detail error = p.last_error;
            error.why = reason::deadline_passed;
            error.peer = p.asked;
            refuse(token, p, error, out);
        } else if (now >= p.ask_again_at) {
            ask_owner(token, p, now, out);
        }
        it = next;
    }
    for (auto it = m_asks.begin(); it != m_asks.end();) {
        const bool waits = m_pending.count(it->second) > 0;
        it = waits ? std::next(it) : m_asks.erase(it);
    }
}

std::size_t lookup_client::in_flight() const
{
    return m_pending.size();
}

// Each ask has its own query id, so that an answer identifies the ask that can
// no longer run.
void lookup_client::ask_owner(caller_token token, pending& p, time_point now,
                              outbox& out)
{
    const role_group_id group = m_roles.map().id_group(p.ask.request);
    const vm_id holder = m_roles.believed_holder(group);
    if (!holder.is_set() || p.asks == max_asks) {
        p.ask_again_at = now + wrong_owner_backoff;
        return;
    }
    p.asks += 1;
    p.unanswered += 1;
    p.asked = holder;
    p.ask_again_at = now + resend_after;
    p.ask.query = {m_self.process, ++m_sequence};
    p.ask.time_left = p.deadline - now;
    m_asks[p.ask.query] = token;
    out.to_peer(holder, p.ask);
}

void lookup_client::clear_holder(const pending& p, vm_id holder)
{
    const role_group_id group = m_roles.map().id_group(p.ask.request);
    if (m_roles.believed_holder(group) == holder) {
        m_roles.update_believed_holder(group, vm_id());
    }
}

// Another unanswered ask may still run, so its answer or the deadline decides.
void lookup_client::handle_not_run(caller_token token, pending& p,
                                   const lookup_reply& reply, outbox& out)
{
    p.last_error = reply.error;
    if (p.unanswered > 0) {
        p.ask_again_at = p.deadline;
        return;
    }
    p.proof.proved_not_started();
    refuse(token, p, reply.error, out);
}

void lookup_client::refuse(caller_token token, const pending& p,
                           error_detail error, outbox& out)
{
    finish(token, to_response(p.proof.refuse(std::move(error))), out);
}

void lookup_client::finish(caller_token token, response answer, outbox& out)
{
    m_pending.erase(token);
    out.issue(answer_caller{token, std::move(answer)});
}

} // namespace cranberrywood
