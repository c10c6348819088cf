#include "core/relay_service.hpp"

#include "core/log_codes.hpp"

namespace cranberrywood {

namespace {

/** Largest number of sends that this VM relays for peers at a time. */
constexpr std::size_t max_relayed = 256;

} // namespace

relay_service::relay_service(const server_table& servers, random_source& random,
                             call_sender& sender, const waiting_calls& waiting,
                             const crash_quarantine& quarantine,
                             gateway_peers& peers)
    : m_reachability(servers, random), m_sender(sender), m_waiting(waiting),
      m_quarantine(quarantine), m_peers(peers)
{
}

void relay_service::requested(const relay_requested& asked, time_point now,
                              gateway_commands& out)
{
    const char* why = try_send(asked, now, out);
    if (why == nullptr) {
        return;
    }
    out.push_back(gateway_log{
        static_cast<std::uint32_t>(log_code::relay_declined),
        "request=" + asked.request.outbound->id + " service=" +
            std::to_string(asked.request.service.value()) + " why=" + why});
    out.push_back(answer_relay{
        asked.token, {{}, exchange_failure{exchange_fault::declined}, {}}});
}

const char* relay_service::try_send(const relay_requested& asked,
                                    time_point now, gateway_commands& out)
{
    const relay_request& request = asked.request;
    if (m_leaving) {
        return "leaving";
    }
    if (m_links_lost) {
        return "no_links";
    }
    if (request.deadline <= duration(0)) {
        return "too_late";
    }
    if (m_sender.relayed_count() >= max_relayed) {
        return "too_many";
    }
    if (m_waiting.has_waiting(request.service)) {
        return "own_callers_wait";
    }
    if (m_quarantine.refused_for(request.print, now)) {
        return "crashes_servers";
    }
    return m_sender.send_for_peer(asked, now, out) ? nullptr : "no_server";
}

void relay_service::withdrawn(relay_token token, time_point now,
                              gateway_commands& out)
{
    m_sender.withdraw(token, now, out);
}

void relay_service::leaving(time_point now, gateway_commands& out)
{
    m_leaving = true;
    m_peers.accept_relays(false);
    m_peers.broadcast({}, now, out);
}

void relay_service::exchange_ended(const exchange_row& row,
                                   const cranberrywood::exchange_ended& ended,
                                   time_point now, gateway_commands& out)
{
    m_reachability.exchange_ended(row.server, ended, now);
    if (row.relayed_for.is_set()) {
        out.push_back(answer_relay{row.relayed_for,
                                   {ended.exchange, ended.result, row.server}});
    }
}

bool relay_service::server_probed(const cranberrywood::server_probed& probed,
                                  time_point now, gateway_commands& out)
{
    m_reachability.server_probed(probed, now, out);
    return apply_links(now, out);
}

bool relay_service::tick(time_point now, gateway_commands& out)
{
    m_reachability.tick(now, out);
    return apply_links(now, out);
}

bool relay_service::apply_links(time_point now, gateway_commands& out)
{
    if (m_reachability.lost() == m_links_lost) {
        return false;
    }
    m_links_lost = m_reachability.lost();
    m_peers.accept_relays(!m_links_lost && !m_leaving);
    m_peers.broadcast({}, now, out);
    return true;
}

} // namespace cranberrywood
