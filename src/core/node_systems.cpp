#include "core/node_systems.hpp"

namespace cranberrywood {

namespace {

/** Limit on rounds of local message delivery per event. */
constexpr int max_local_rounds = 64;

const char* answer_counter(const response& answer)
{
    if (const auto* a = std::get_if<answered>(&answer)) {
        return a->covers.whole() ? "answers_whole" : "answers_partial";
    }
    if (std::holds_alternative<not_run>(answer)) {
        return "answers_not_run";
    }
    return std::holds_alternative<failed>(answer) ? "answers_failed"
                                                  : "answers_outcome_unknown";
}

} // namespace

node_systems::node_systems(node_identity identity, random_source& random)
    : m_self(std::move(identity)), m_sessions(m_self), m_heartbeats(m_self),
      m_leases(m_self, random, m_heartbeats), m_spread(m_self, random),
      m_quarantine(m_self.vm, m_leases), m_rights(m_quarantine),
      m_replicas(m_self.data_centre), m_homes(m_leases), m_rates(m_leases),
      m_lookup_router(m_leases, m_rights, m_replicas, m_pins, random),
      m_records(m_self, m_leases, m_lookup_router), m_lookups(m_self, m_leases),
      m_dispatch(m_leases, m_rights, random),
      m_queries(m_self, random,
                {m_leases, m_rights, m_quarantine, m_latencies, m_budget,
                 m_replicas, m_pins}),
      m_admission(m_rights, m_rates),
      m_duties(m_leases, m_dispatch, m_homes, m_records)
{
    m_out.log(log_code::node_started,
              "process=" + std::to_string(m_self.process.value()));
}

void node_systems::apply(const event& e, time_point now)
{
    std::visit([&](const auto& one) { on(one, now); }, e);
}

void node_systems::on(const caller_request& e, time_point now)
{
    m_callers.add(e.token, {{}, id_of<service_id>(e.service), now});
    if (const auto refusal = check_accepting(e, now)) {
        m_admission.refuse(e.token, e.is_lookup(), *refusal, m_out);
        return;
    }
    auto checked = check_request(e, *m_settings, m_rights, now);
    if (const auto* error = std::get_if<error_detail>(&checked)) {
        m_admission.refuse(e.token, e.is_lookup(), *error, m_out);
        return;
    }
    auto& request = std::get<admitted_request>(checked);
    m_callers.identify(e.token, request.rights.workspace);
    if (m_quarantine.check(request.print, now) == quarantine_status::refused) {
        m_admission.refuse(e.token, e.is_lookup(),
                           {step::quarantine, reason::quarantined, {}, {}, {}},
                           m_out);
        return;
    }
    m_admission.accept(std::move(request), now, m_out);
}

// A VM whose settings may be outdated cannot tell whether a key is still valid.
// Requests without a key do not depend on this.
std::optional<error_detail>
node_systems::check_accepting(const caller_request& request,
                              time_point now) const
{
    if (m_settings == nullptr) {
        return error_detail{step::admission, reason::not_ready, {}, {}, {}};
    }
    if (m_leaving_since &&
        now - *m_leaving_since > m_settings->fleet().balancer_lag) {
        return error_detail{step::shutdown, reason::shutting_down, {}, {}, {}};
    }
    if (!request.key.empty() && !m_heartbeats.view_confirmed(now)) {
        return error_detail{
            step::admission, reason::view_unconfirmed, {}, {}, {}};
    }
    return std::nullopt;
}

void node_systems::on(const caller_gone& e, time_point now)
{
    if (!m_callers.remove(e.token)) {
        return;
    }
    if (!m_admission.caller_gone(e.token)) {
        m_queries.caller_gone(e.token, now, m_out);
        m_lookups.caller_gone(e.token);
    }
    ++m_counters["callers_gone"];
}

void node_systems::on(const peer_received& e, time_point now)
{
    const bool accepted = m_sessions.accept(e.envelope);
    apply_peer_restarts(now);
    if (!accepted) {
        return;
    }
    m_heartbeats.heard(e.envelope.from, now);
    dispatch(e.envelope.from, e.envelope.body, now);
}

void node_systems::apply_peer_restarts(time_point now)
{
    for (const vm_id vm : m_sessions.take_restarted()) {
        m_leases.peer_restarted(vm);
        m_heartbeats.peer_restarted(vm);
        m_homes.peer_restarted(vm);
        m_records.peer_restarted(vm, m_out);
        m_lookups.peer_restarted(vm, now, m_out);
        m_queries.peer_restarted(vm, now, m_out);
    }
    for (const vm_id vm : m_sessions.take_misaddressed()) {
        m_heartbeats.introduce_to(vm, now, m_out);
    }
}

void node_systems::on(const backend_connected& e, time_point now)
{
    m_dispatch.connected(e, now, m_out);
}

void node_systems::on(const backend_replied& e, time_point now)
{
    m_dispatch.replied(e, now, m_out);
}

void node_systems::on(const backend_lost& e, time_point now)
{
    m_dispatch.lost(e, now, m_out);
}

// An answer older than the current settings does not confirm them.
void node_systems::on(const configuration_read& e, time_point now)
{
    m_spread.receive(e, now, m_out);
    if (e.value.revision >= m_spread.status(now).accepted) {
        m_heartbeats.platform_answered(now);
    }
}

void node_systems::on(const configuration_unavailable& e, time_point now)
{
    m_spread.receive(e, now, m_out);
}

void node_systems::on(const vm_list_read& e, time_point)
{
    m_spread.receive(e);
    m_heartbeats.vm_list_changed(e);
}

void node_systems::on(const shutdown_requested&, time_point now)
{
    if (m_leaving_since) {
        return;
    }
    m_leaving_since = now;
    m_heartbeats.leave(now, m_out);
    m_out.log(log_code::node_leaving,
              "requests_in_flight=" + std::to_string(in_flight()));
}

void node_systems::dispatch(vm_id from, const peer_message& message,
                            time_point now)
{
    // Without settings, a VM knows neither its peers nor its roles.
    const bool about_settings =
        std::holds_alternative<heartbeat>(message) ||
        std::holds_alternative<revision_pull>(message) ||
        std::holds_alternative<revision_push>(message);
    if (m_settings == nullptr && !about_settings) {
        return;
    }
    std::visit([&](const auto& one) { route(from, one, now); }, message);
}

void node_systems::route(vm_id from, const heartbeat& m, time_point now)
{
    m_heartbeats.receive(from, m, now, m_out);
    m_spread.receive_revision(from, m.revision, now, m_out);
}

void node_systems::route(vm_id from, const revision_pull& m, time_point now)
{
    m_spread.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const revision_push& m, time_point now)
{
    m_spread.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const loan_ask& m, time_point now)
{
    m_homes.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const loan_grant& m, time_point now)
{
    m_rates.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const owner_request& m, time_point now)
{
    m_dispatch.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const owner_reply& m, time_point now)
{
    if (m_records.owns(m.query)) {
        m_records.receive(from, m, now, m_out);
    } else {
        m_queries.receive(from, m, now, m_out);
    }
}

void node_systems::route(vm_id from, const owner_cancel& m, time_point now)
{
    m_dispatch.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const lookup_ask& m, time_point now)
{
    m_records.receive(from, m, now, m_out);
}

void node_systems::route(vm_id from, const lookup_reply& m, time_point now)
{
    m_lookups.receive(from, m, now, m_out);
}

void node_systems::route(vm_id, const record_handover& m, time_point now)
{
    m_records.receive_handover(m, now);
}

void node_systems::route(vm_id from, const quarantine_notice& m, time_point now)
{
    m_quarantine.receive(from, m, now, m_out);
}

template <class LeaseMessage>
void node_systems::route(vm_id from, const LeaseMessage& m, time_point now)
{
    m_leases.receive(from, m, now, m_out);
}

void node_systems::tick(time_point now)
{
    m_spread.tick(now, m_out);
    if (m_settings == nullptr) {
        return;
    }
    m_heartbeats.tick(now, m_out);
    m_leases.tick(now, m_out);
    m_homes.tick(now, m_out);
    m_rates.tick(now, m_out);
    m_records.tick(now, m_out);
    m_lookups.tick(now, m_out);
    m_dispatch.tick(now, m_out);
    m_queries.tick(now, m_out);
    m_quarantine.tick(now, m_out);
    update_view_confirmed(now);
    stop_if_drained(now);
}

commands node_systems::finish(time_point now)
{
    for (int round = 0; round < max_local_rounds; ++round) {
        run_systems(now);
        if (!deliver_messages(now)) {
            break;
        }
    }
    return std::exchange(m_commands, {});
}

void node_systems::run_systems(time_point now)
{
    apply_accepted_settings(now);
    if (m_settings == nullptr) {
        return;
    }
    m_duties.run(now, m_out);
    m_admission.tick(now, m_out);
    start_admitted(now);
    apply_suspected_crashes(now);
    m_dispatch.flush(now, m_out);
}

void node_systems::apply_accepted_settings(time_point now)
{
    auto accepted = m_spread.take_accepted();
    if (!accepted) {
        return;
    }
    m_settings = *accepted;
    m_rights.settings_changed(m_settings);
    m_heartbeats.settings_changed(m_settings, now);
    m_leases.settings_changed(m_settings, now, m_out);
    m_replicas.settings_changed(m_settings);
    m_homes.settings_changed(m_settings, now);
    m_rates.settings_changed(m_settings);
    m_lookup_router.settings_changed(m_settings);
    m_records.settings_changed(m_settings);
    m_quarantine.settings_changed(m_settings);
    m_dispatch.settings_changed(m_settings, now, m_out);
    m_queries.settings_changed(m_settings);
    m_admission.settings_changed(m_settings);
    m_levels.settings_changed(m_settings);
    m_duties.settings_changed(now, m_out);
    m_out.issue(settings_accepted{m_settings});
}

void node_systems::start_admitted(time_point now)
{
    while (in_flight() < m_settings->fleet().max_requests) {
        auto request = m_admission.next(now, m_out);
        if (!request) {
            return;
        }
        ++m_counters["requests_started"];
        if (request->lookup) {
            m_lookups.start(*request, now, m_out);
        } else {
            m_queries.start(std::move(*request), now, m_out);
        }
    }
}

void node_systems::apply_suspected_crashes(time_point now)
{
    for (const suspected_crash& death : m_dispatch.take_suspected_crashes()) {
        m_quarantine.record_server_crash(death.backend_server, death.in_flight,
                                         now, m_out);
    }
    // A server that reconnects as the same process did not crash; only its
    // connection was lost.
    for (const suspected_crash& survival : m_dispatch.take_refuted_crashes()) {
        const auto* server = m_settings->find(survival.backend_server);
        for (const request_at_crash& request : survival.in_flight) {
            if (server != nullptr) {
                m_quarantine.record_completion(request.print, server->shard);
            }
        }
    }
    for (const completed_part& part : m_dispatch.take_completed()) {
        m_quarantine.record_completion(part.print, part.shard);
    }
}

// Messages to this VM itself bypass the network and the peer sessions.
bool node_systems::deliver_messages(time_point now)
{
    for (command& c : m_out.take_commands()) {
        issue(std::move(c), now);
    }
    bool delivered = false;
    for (auto& [to, body] : m_out.take_peer_messages()) {
        if (to == m_self.vm) {
            delivered = true;
            dispatch(m_self.vm, body, now);
        } else {
            send(to, std::move(body), now);
        }
    }
    return delivered;
}

void node_systems::send(vm_id to, peer_message message, time_point now)
{
    auto envelope = m_sessions.wrap(to, std::move(message));
    if (envelope) {
        m_commands.push_back(send_to_peer{to, std::move(*envelope)});
        return;
    }
    m_heartbeats.introduce_to(to, now, m_out);
}

// All answers pass through this function, so that no caller is answered twice.
void node_systems::issue(command c, time_point now)
{
    auto* answer = std::get_if<answer_caller>(&c);
    if (answer == nullptr) {
        m_commands.push_back(std::move(c));
        return;
    }
    const auto caller = m_callers.remove(answer->token);
    if (!caller) {
        ++m_counters["invariants_broken"];
        m_out.log(log_code::invariant_broken,
                  "second answer to caller=" +
                      std::to_string(answer->token.value()));
        return;
    }
    ++m_counters[answer_counter(answer->answer)];
    if (caller->identified) {
        m_levels.record_answer(caller->workspace, caller->service,
                               answer->answer, now - caller->arrived, now);
    }
    m_commands.push_back(std::move(c));
}

void node_systems::update_view_confirmed(time_point now)
{
    const bool confirmed = m_heartbeats.view_confirmed(now);
    if (confirmed == m_view_confirmed) {
        return;
    }
    m_view_confirmed = confirmed;
    const auto revision = m_settings->all().revision.value();
    m_out.log(confirmed ? log_code::view_confirmed : log_code::view_unconfirmed,
              "revision=" + std::to_string(revision));
}

void node_systems::stop_if_drained(time_point now)
{
    if (!m_leaving_since || m_stopped) {
        return;
    }
    const duration elapsed = now - *m_leaving_since;
    if (elapsed < m_settings->fleet().balancer_lag) {
        return;
    }
    if (!m_leases_released) {
        m_leases_released = true;
        m_rates.release_all(now, m_out);
        m_leases.leave(now, m_out);
    }
    const bool idle =
        in_flight() == 0 && m_admission.waiting() == 0 && m_duties.held() == 0;
    if (idle || elapsed > m_settings->fleet().drain_limit) {
        m_stopped = true;
        m_out.log(log_code::node_left,
                  "requests_in_flight=" + std::to_string(in_flight()));
        m_out.issue(stop_process{});
    }
}

std::size_t node_systems::in_flight() const
{
    return m_queries.in_flight() + m_lookups.in_flight();
}

// Readiness also requires peers: a VM that reaches fewer than half of its
// witnesses holds no leases and reaches few owners.
bool node_systems::can_serve(time_point now) const
{
    if (m_settings == nullptr || m_leaving_since) {
        return false;
    }
    const duration life = m_settings->fleet().view_life;
    const auto& witnesses = m_heartbeats.heartbeat_peers();
    std::size_t heard = 0;
    for (const vm_id vm : witnesses) {
        const peer_state* seen = m_heartbeats.find(vm);
        const bool self = vm == m_self.vm;
        heard += self || (seen != nullptr && now - seen->heard < life) ? 1 : 0;
    }
    return m_heartbeats.view_confirmed(now) && 2 * heard >= witnesses.size();
}

node_status node_systems::status(time_point now) const
{
    node_status s;
    s.vm = m_self.vm;
    s.process = m_self.process;
    s.leaving = m_leaving_since.has_value();
    s.counters = m_counters;
    s.refused_revision = m_spread.status(now).refused_error;
    if (m_settings == nullptr) {
        return s;
    }
    s.revision = m_settings->all().revision;
    s.view_confirmed = m_heartbeats.view_confirmed(now);
    s.ready = can_serve(now);
    s.groups_held = static_cast<std::uint32_t>(m_duties.held());
    s.requests_in_flight = static_cast<std::uint32_t>(in_flight());
    s.levels = m_levels.report(now);
    s.counters["first_sends"] = m_queries.sends().first_sends;
    s.counters["hedges"] = m_queries.sends().hedges;
    s.counters["retries"] = m_queries.sends().retries;
    s.counters["restarts"] = m_queries.counted().restarts;
    s.counters["late_replies"] = m_queries.counted().late_replies;
    s.counters["backend_sends"] = m_dispatch.counts().sent;
    s.counters["backend_sheds"] = m_dispatch.counts().shed;
    s.counters["backend_late"] = m_dispatch.counts().late;
    s.counters["backend_unmatched_replies"] =
        m_dispatch.counts().unmatched_replies;
    s.counters["duplicate_envelopes"] = m_sessions.drops().duplicate;
    for (const auto& [why, count] : m_admission.refusals()) {
        s.counters[std::string("refused_") + name_of(why)] = count;
    }
    return s;
}

} // namespace cranberrywood
