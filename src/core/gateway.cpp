#include "core/gateway.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Interval at which unlisted servers and waiting calls are reviewed. */
constexpr duration sweep_interval = 250ms;
/** Interval at which unanswered asks for tokens are repeated. */
constexpr duration token_review_interval = 15ms;
/** Time after which a VM is ready though it has not discovered the fleet. */
constexpr duration longest_unready = 4s;
/**
 * Time without a change after which the fleet size is logged: a VM that starts
 * learns of the others one by one.
 */
constexpr duration fleet_size_steady_time = 250ms;
/** Retry delay given to a caller whose request got no token. */
constexpr duration token_retry_after = 100ms;

void log(log_code code, std::string text, gateway_commands& out)
{
    out.push_back(
        gateway_log{static_cast<std::uint32_t>(code), std::move(text)});
}

} // namespace

gateway::gateway(const gateway_settings& settings, random_source& random,
                 time_point now)
    : m_startup(random, now - settings.age),
      m_members(settings.member, random, now), m_rates(m_members),
      m_directory(m_servers), m_server_limits(m_servers, m_members),
      m_suspicions(m_servers), m_conditions(m_servers, m_members),
      m_evidence(m_suspicions, m_conditions),
      m_cold_limits(m_servers, m_members),
      m_choice(m_servers, m_server_limits, m_cold_limits, m_conditions,
               settings.member.self, random),
      m_relay_peers(m_members, random),
      m_sender(settings, m_servers, m_choice, m_server_limits, m_cold_limits,
               m_conditions, m_evidence, m_relay_peers),
      m_crash_watch(m_servers, m_quarantine),
      m_admission(m_rates, m_waiting, m_quarantine, m_choice, m_startup,
                  random),
      m_peers(m_members, incarnation(random.next() | 1U), m_rates,
              m_server_limits, m_quarantine, m_conditions, m_relay_peers, now),
      m_relays(m_servers, random, m_sender, m_waiting, m_quarantine, m_peers),
      m_runner(m_sender, m_relays, m_quarantine, m_waiting)
{
}

gateway_commands gateway::handle(const gateway_event& event, time_point now)
{
    gateway_commands out;
    std::visit([&](const auto& e) { on(e, now, out); }, event);
    review_readiness(now, out);
    broadcast_news(now, out);
    return out;
}

gateway_commands gateway::tick(time_point now)
{
    gateway_commands out;
    m_runner.review_due(now, out);
    m_sender.cancel_overdue(now, out);
    m_crash_watch.tick(now, out);
    if (m_relays.tick(now, out)) {
        m_runner.serve_all_waiting(now, out);
    }
    m_runner.serve_reopened(now, out);
    m_peers.tick(now, out);
    if (now >= m_next_token_review) {
        review_token_waiters(now, out);
    }
    update_fleet_size(now, out);
    review_readiness(now, out);
    if (now >= m_next_sweep) {
        m_next_sweep = now + sweep_interval;
        m_directory.drop_unlisted(now);
        m_quarantine.drop_expired(now);
        m_server_limits.drop_expired(now);
        m_cold_limits.drop_expired(now);
        m_conditions.drop_expired(now, out);
        m_sender.drop_expired(now);
        m_relay_peers.drop_silent(now);
        m_runner.serve_all_waiting(now, out);
    }
    broadcast_news(now, out);
    return out;
}

bool gateway::is_ready(time_point now) const
{
    if (m_settings == nullptr || m_servers.size() == 0 ||
        !reaches_servers(now)) {
        return false;
    }
    // A VM that does not know the fleet has no tokens for keyed requests.
    const bool lacks_tokens =
        m_settings->has_workspaces() && !m_members.settled(now);
    return m_members.age(now) >= longest_unready ||
           (!lacks_tokens && !has_older_configuration());
}

void gateway::record_step(startup_step step, time_point now,
                          gateway_commands& out)
{
    if (m_startup.record(step, now)) {
        log(log_code::startup_step_reached,
            std::string("step=") + name_of(step) +
                " ms=" + milliseconds_text(m_startup.age(now)),
            out);
    }
}

void gateway::review_readiness(time_point now, gateway_commands& out)
{
    if (!m_startup.has(startup_step::ready) && is_ready(now)) {
        record_step(startup_step::ready, now, out);
    }
}

std::uint64_t gateway::settings_version() const
{
    return m_settings == nullptr ? 0 : m_settings->version;
}

std::optional<std::string> gateway::next_configuration_source(time_point now)
{
    return m_peer_configuration.next_source(settings_version(), now);
}

std::optional<time_point> gateway::next_wakeup() const
{
    std::optional<time_point> next = m_runner.next_wakeup();
    for (const auto& other :
         {m_sender.next_overdue(), m_crash_watch.next_wakeup(),
          m_relays.next_wakeup()}) {
        if (other && (!next || *other < *next)) {
            next = other;
        }
    }
    const time_point regular =
        std::min({m_next_sweep, m_peers.next_wakeup(), m_next_token_review});
    return next ? std::min(*next, regular) : regular;
}

void gateway::on(const request_received& asked, time_point now,
                 gateway_commands& out)
{
    admission_result admitted = m_admission.admit(asked, now);
    if (const auto* needed = std::get_if<token_needed>(&admitted)) {
        wait_for_token(asked, needed->workspace, now, out);
    } else {
        apply_admission(asked, std::move(admitted), now, out);
    }
}

void gateway::apply_admission(const request_received& asked,
                              admission_result admitted, time_point now,
                              gateway_commands& out)
{
    if (auto* refused = std::get_if<refused_answer>(&admitted)) {
        refuse(asked, *refused, out);
    } else {
        m_runner.start(
            std::move(std::get<std::unique_ptr<open_request>>(admitted)), now,
            out);
    }
}

void gateway::refuse(const request_received& asked,
                     const refused_answer& answer, gateway_commands& out)
{
    const workspace_entry* workspace =
        m_settings == nullptr ? nullptr : m_settings->find_workspace(asked.key);
    log(log_code::request_refused,
        "request=" + asked.outbound->id + " host=" + asked.host +
            " path=" + asked.path + " why=" + name_of(answer.why) +
            " workspace=" + (workspace == nullptr ? "none" : workspace->name) +
            " rate=" +
            (workspace == nullptr ? "0" : std::to_string(workspace->rate)) +
            " retry_after_ms=" +
            milliseconds_text(answer.retry_after.value_or(duration(0))) +
            " revision=" + std::to_string(settings_version()) +
            " fingerprint=" +
            std::to_string(fingerprint_of(workspace == nullptr ? workspace_id()
                                                               : workspace->id,
                                          asked)
                               .value()),
        out);
    out.push_back(answer_to_caller{asked.token, answer});
}

void gateway::wait_for_token(const request_received& asked,
                             workspace_id workspace, time_point now,
                             gateway_commands& out)
{
    if (!m_token_waiters.add(workspace, asked, now)) {
        refuse(asked, {refusal_reason::over_rate, token_retry_after}, out);
        return;
    }
    m_next_token_review =
        std::min(m_next_token_review, now + token_review_interval);
    ask_for_tokens(workspace, now, out);
}

// Once every holder was asked without success, the waiting requests are
// refused.
void gateway::ask_for_tokens(workspace_id workspace, time_point now,
                             gateway_commands& out)
{
    const auto asks =
        m_rates.make_asks(workspace, m_token_waiters.count(workspace), now);
    m_peers.send_asks(asks, now, out);
    if (asks.empty()) {
        serve_token_waiters(workspace, now, out);
    }
}

void gateway::serve_token_waiters(workspace_id workspace, time_point now,
                                  gateway_commands& out)
{
    while (true) {
        const time_point since = m_token_waiters.since(workspace);
        const auto asked = m_token_waiters.take(workspace);
        if (!asked) {
            return;
        }
        admission_result admitted = m_admission.admit(*asked, now);
        if (std::holds_alternative<token_needed>(admitted)) {
            m_token_waiters.put_back(workspace, *asked, since);
            return;
        }
        apply_admission(*asked, std::move(admitted), now, out);
    }
}

void gateway::review_token_waiters(time_point now, gateway_commands& out)
{
    for (const request_received& late : m_token_waiters.take_expired(now)) {
        refuse(late, {refusal_reason::over_rate, token_retry_after}, out);
    }
    for (const workspace_id workspace : m_token_waiters.workspaces()) {
        ask_for_tokens(workspace, now, out);
    }
    m_next_token_review = m_token_waiters.empty() ? time_point::max()
                                                  : now + token_review_interval;
}

void gateway::on(const caller_disconnected& left, time_point now,
                 gateway_commands& out)
{
    m_token_waiters.remove(left.token);
    m_runner.caller_left(left.token, now, out);
}

void gateway::on(const exchange_ended& ended, time_point now,
                 gateway_commands& out)
{
    const auto row = m_sender.end(ended, now, out);
    if (!row) {
        return;
    }
    m_waiting.record_completion(row->service, now);
    if (row->relayed_by.empty()) {
        m_relays.exchange_ended(*row, ended, now, out);
    }
    // While the links are lost, a refused connection says nothing of its
    // server.
    if (row->relayed_by.empty() && !m_relays.links_lost()) {
        m_crash_watch.exchange_ended(*row, ended, now, out);
    }
    m_runner.exchange_ended(*row, ended, now, out);
}

void gateway::on(const server_probed& probed, time_point now,
                 gateway_commands& out)
{
    const bool changed = m_relays.server_probed(probed, now, out);
    if (!m_relays.links_lost()) {
        m_crash_watch.server_probed(probed, now, out);
    }
    if (changed) {
        m_runner.serve_all_waiting(now, out);
    }
}

void gateway::on(const vm_leaving& leaving, time_point now,
                 gateway_commands& out)
{
    m_admission.leaving(leaving);
    m_relays.leaving(now, out);
    m_runner.answer_all_by(leaving.answer_by, now, out);
}

void gateway::on(const relay_requested& asked, time_point now,
                 gateway_commands& out)
{
    m_relays.requested(asked, now, out);
}

void gateway::on(const relay_withdrawn& withdrawn, time_point now,
                 gateway_commands& out)
{
    m_relays.withdrawn(withdrawn.token, now, out);
}

void gateway::on(const catalogue_read& read, time_point now,
                 gateway_commands& out)
{
    if (m_settings != nullptr && read.read->version <= m_settings->version) {
        return;
    }
    m_settings = read.read;
    record_step(startup_step::configuration, now, out);
    m_peers.settings_changed(m_settings->version);
    m_admission.catalogue_changed(m_settings);
    m_rates.catalogue_changed(m_settings, now);
    m_sender.catalogue_changed(m_settings);
    m_cold_limits.catalogue_changed(m_settings);
    m_runner.serve_all_waiting(now, out);
}

void gateway::on(const servers_reported& report, time_point now,
                 gateway_commands& out)
{
    if (!report.entries.empty()) {
        record_step(startup_step::servers, now, out);
    }
    for (const backend_server_id server :
         m_directory.reported(report, now, out)) {
        m_crash_watch.server_started(server, now, out);
        m_server_limits.forget(server);
        m_conditions.forget(server);
    }
    m_runner.serve_all_waiting(now, out);
}

void gateway::on(const server_unlisted& gone, time_point now,
                 gateway_commands& out)
{
    m_directory.unlisted(gone.server, now, out);
}

void gateway::on(const evacuations_read& read, time_point now,
                 gateway_commands& out)
{
    m_choice.evacuations().listed(read.data_centres, now);
    m_runner.serve_all_waiting(now, out);
}

void gateway::on(const store_reachability_changed& contact, time_point now,
                 gateway_commands& out)
{
    m_directory.contact_changed(contact, now);
    if (contact.reachable) {
        record_step(startup_step::confirmed, now, out);
    }
}

void gateway::on(const store_state_confirmed& /*confirmed*/, time_point now,
                 gateway_commands& out)
{
    record_step(startup_step::confirmed, now, out);
}

// What the copy lacks was either removed before or is written again soon.
void gateway::on(const store_restored& /*restored*/, time_point now,
                 gateway_commands& /*out*/)
{
    m_directory.store_restored(now);
    m_choice.evacuations().store_restored(now);
}

void gateway::on(const datagram_received& datagram, time_point now,
                 gateway_commands& out)
{
    m_peers.received(datagram, now, out);
    m_peer_configuration.heard(datagram.from,
                               datagram.datagram.settings_version,
                               settings_version(), now);
    m_suspicions.apply_remote(datagram.datagram.suspicions, now);
    m_conditions.apply_remote(datagram.datagram.suspicions, now, out);
    m_conditions.apply_remote(datagram.datagram.conditions, now);
    m_server_limits.apply_remote(datagram.from, datagram.datagram.limits, now,
                                 out);
    m_quarantine.apply_remote(datagram.from, datagram.datagram.crashes,
                              datagram.datagram.clearances, now, out);
    update_fleet_size(now, out);
    for (const token_grant& grant : datagram.datagram.grants) {
        serve_token_waiters(grant.workspace, now, out);
        if (m_token_waiters.count(grant.workspace) > 0) {
            ask_for_tokens(grant.workspace, now, out);
        }
    }
}

void gateway::update_fleet_size(time_point now, gateway_commands& out)
{
    const std::uint32_t size = m_members.fleet_size(now);
    const double share = m_members.usable_share(now);
    if (size != m_fleet_size) {
        m_sender.fleet_changed(size);
        m_fleet_size = size;
        m_fleet_size_since = now;
    }
    const bool new_size = size != m_logged_fleet_size &&
                          now - m_fleet_size_since >= fleet_size_steady_time;
    if (!new_size && share == m_logged_fleet_share) {
        return;
    }
    m_logged_fleet_size = size;
    m_logged_fleet_share = share;
    log(log_code::fleet_size_changed,
        "vms=" + std::to_string(size) + " share=" + std::to_string(share), out);
}

void gateway::broadcast_news(time_point now, gateway_commands& out)
{
    gateway_datagram news;
    news.suspicions = m_suspicions.take_local_suspicions();
    news.conditions = m_conditions.take_reports();
    news.limits = m_server_limits.take_reports(now);
    news.crashes = m_quarantine.take_reports(now);
    news.clearances = m_quarantine.take_clearances(now);
    if (!news.suspicions.empty() || !news.conditions.empty() ||
        !news.limits.empty() || !news.crashes.empty() ||
        !news.clearances.empty()) {
        m_peers.broadcast(std::move(news), now, out);
    }
}

} // namespace cranberrywood
