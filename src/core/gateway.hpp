#ifndef CRANBERRYWOOD_CORE_GATEWAY_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_HPP

#include "core/call_sender.hpp"
#include "core/crash_watch.hpp"
#include "core/gateway_admission.hpp"
#include "core/gateway_messages.hpp"
#include "core/gateway_peers.hpp"
#include "core/gateway_settings.hpp"
#include "core/random_source.hpp"
#include "core/relay_service.hpp"
#include "core/request_runner.hpp"
#include "systems/rates/token_waiters.hpp"
#include "systems/servers/server_evidence.hpp"
#include "systems/store/peer_configuration.hpp"
#include "systems/store/startup_progress.hpp"

namespace cranberrywood {

/**
 * Deterministic core of a VM that sends to backend servers directly. Takes
 * typed events and returns typed commands; does no I/O, reads no clock and
 * starts no thread. Equal events, times and seeds give equal commands.
 */
class gateway
{
public:
    /** The random source must outlive the gateway. */
    gateway(const gateway_settings& settings, random_source& random,
            time_point now);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /** Applies an event. Times must never go back. */
    gateway_commands handle(const gateway_event& event, time_point now);

    /** Runs what is due. */
    gateway_commands tick(time_point now);

    /** Returns when tick has to be called next, if at all. */
    std::optional<time_point> next_wakeup() const;

    /** Returns the current configuration; null before the first is read. */
    const std::shared_ptr<const catalogue>& settings() const
    {
        return m_settings;
    }
    /** Returns the version of the current configuration; 0 before the first. */
    std::uint64_t settings_version() const;
    /**
     * Returns the peer to ask for its configuration now, as it has a greater
     * version than this VM reads; each call counts as an attempt.
     */
    std::optional<std::string> next_configuration_source(time_point now);
    /** Returns whether a peer has named a greater version. */
    bool has_older_configuration() const
    {
        return m_peer_configuration.is_behind(settings_version());
    }
    /** Returns the number of requests that are not answered yet. */
    std::size_t open_request_count() const
    {
        return m_runner.size();
    }
    /** Returns the VMs known to this one. */
    const member_directory& members() const
    {
        return m_members;
    }
    std::size_t server_count() const
    {
        return m_servers.size();
    }
    /** Returns the number of exchanges that this VM relays for peers. */
    std::size_t relayed_count() const
    {
        return m_sender.relayed_count();
    }
    /**
     * Returns whether this VM can serve requests: it has a configuration and
     * servers, knows of no later version and, if the configuration has
     * workspaces, knows the fleet that divides their rates.
     */
    bool is_ready(time_point now) const;
    /** Returns how far the start of this VM is. */
    const startup_progress& startup() const
    {
        return m_startup;
    }
    /** Returns whether requests can reach servers, through peers if need be. */
    bool reaches_servers(time_point now) const
    {
        return !m_relays.links_lost() || m_relay_peers.available(now);
    }

private:
    void on(const request_received& asked, time_point now,
            gateway_commands& out);
    void on(const caller_disconnected& left, time_point now,
            gateway_commands& out);
    void on(const exchange_ended& ended, time_point now, gateway_commands& out);
    void on(const server_probed& probed, time_point now, gateway_commands& out);
    void on(const catalogue_read& read, time_point now, gateway_commands& out);
    void on(const servers_reported& report, time_point now,
            gateway_commands& out);
    void on(const server_unlisted& gone, time_point now, gateway_commands& out);
    void on(const evacuations_read& read, time_point now,
            gateway_commands& out);
    void on(const store_reachability_changed& contact, time_point now,
            gateway_commands& out);
    void on(const store_state_confirmed& confirmed, time_point now,
            gateway_commands& out);
    void on(const store_restored& restored, time_point now,
            gateway_commands& out);
    void on(const relay_requested& asked, time_point now,
            gateway_commands& out);
    void on(const vm_leaving& leaving, time_point now, gateway_commands& out);
    void on(const relay_withdrawn& withdrawn, time_point now,
            gateway_commands& out);
    void on(const datagram_received& datagram, time_point now,
            gateway_commands& out);
    void update_fleet_size(time_point now, gateway_commands& out);
    void record_step(startup_step step, time_point now, gateway_commands& out);
    void review_readiness(time_point now, gateway_commands& out);

    void apply_admission(const request_received& asked,
                         admission_result admitted, time_point now,
                         gateway_commands& out);
    void refuse(const request_received& asked, const refused_answer& answer,
                gateway_commands& out);
    void wait_for_token(const request_received& asked, workspace_id workspace,
                        time_point now, gateway_commands& out);
    void ask_for_tokens(workspace_id workspace, time_point now,
                        gateway_commands& out);
    void serve_token_waiters(workspace_id workspace, time_point now,
                             gateway_commands& out);
    void review_token_waiters(time_point now, gateway_commands& out);
    void broadcast_news(time_point now, gateway_commands& out);

    startup_progress m_startup;
    member_directory m_members;
    rate_slices m_rates;
    token_waiters m_token_waiters;
    server_table m_servers;
    server_directory m_directory;
    server_limits m_server_limits;
    server_suspicions m_suspicions;
    server_conditions m_conditions;
    server_evidence m_evidence;
    cold_limits m_cold_limits;
    server_choice m_choice;
    waiting_calls m_waiting;
    crash_quarantine m_quarantine;

    relay_peers m_relay_peers;
    call_sender m_sender;
    crash_watch m_crash_watch;
    gateway_admission m_admission;
    gateway_peers m_peers;
    relay_service m_relays;
    request_runner m_runner;
    std::uint32_t m_fleet_size = 0;
    /** Fleet size, and share of the limits that it divides, logged last. */
    std::uint32_t m_logged_fleet_size = 0;
    double m_logged_fleet_share = 1.0;
    time_point m_fleet_size_since;
    std::shared_ptr<const catalogue> m_settings;
    peer_configuration m_peer_configuration;
    time_point m_next_sweep;
    time_point m_next_token_review = time_point::max();
};

} // namespace cranberrywood

#endif
