#ifndef CRANBERRYWOOD_CORE_NODE_SYSTEMS_HPP
#define CRANBERRYWOOD_CORE_NODE_SYSTEMS_HPP

#include "core/events.hpp"
#include "core/node.hpp"
#include "core/pending_callers.hpp"
#include "systems/lookups/lookup_client.hpp"
#include "systems/lookups/lookup_router.hpp"
#include "systems/members/heartbeats.hpp"
#include "systems/members/peer_sessions.hpp"
#include "systems/members/role_duties.hpp"
#include "systems/queries/admission.hpp"
#include "systems/queries/query_coordinator.hpp"
#include "systems/queries/service_levels.hpp"
#include "systems/settings/current_rights.hpp"
#include "systems/settings/settings_spread.hpp"

namespace cranberrywood {

/**
 * Owns the systems of one node, routes events and peer messages to them and
 * runs them in a fixed order.
 */
class node_systems
{
public:
    node_systems(node_identity identity, random_source& random);

    /** Applies an event to the systems that handle it. */
    void apply(const event& e, time_point now);

    /** Runs the timers of the systems. */
    void tick(time_point now);

    /** Runs the systems until idle and returns the commands. */
    commands finish(time_point now);

    /** Returns the state for operators. */
    node_status status(time_point now) const;

private:
    void on(const caller_request& e, time_point now);
    void on(const caller_gone& e, time_point now);
    void on(const peer_received& e, time_point now);
    void on(const backend_connected& e, time_point now);
    void on(const backend_replied& e, time_point now);
    void on(const backend_lost& e, time_point now);
    void on(const configuration_read& e, time_point now);
    void on(const configuration_unavailable& e, time_point now);
    void on(const vm_list_read& e, time_point now);
    void on(const shutdown_requested& e, time_point now);

    void dispatch(vm_id from, const peer_message& message, time_point now);
    void route(vm_id from, const heartbeat& m, time_point now);
    void route(vm_id from, const revision_pull& m, time_point now);
    void route(vm_id from, const revision_push& m, time_point now);
    void route(vm_id from, const loan_ask& m, time_point now);
    void route(vm_id from, const loan_grant& m, time_point now);
    void route(vm_id from, const owner_request& m, time_point now);
    void route(vm_id from, const owner_reply& m, time_point now);
    void route(vm_id from, const owner_cancel& m, time_point now);
    void route(vm_id from, const lookup_ask& m, time_point now);
    void route(vm_id from, const lookup_reply& m, time_point now);
    void route(vm_id from, const record_handover& m, time_point now);
    void route(vm_id from, const quarantine_notice& m, time_point now);
    template <class LeaseMessage>
    void route(vm_id from, const LeaseMessage& m, time_point now);

    std::optional<error_detail> check_accepting(const caller_request& request,
                                                time_point now) const;
    void apply_accepted_settings(time_point now);
    void apply_peer_restarts(time_point now);
    void apply_suspected_crashes(time_point now);
    void start_admitted(time_point now);
    void run_systems(time_point now);
    bool deliver_messages(time_point now);
    void send(vm_id to, peer_message message, time_point now);
    void issue(command c, time_point now);
    void update_view_confirmed(time_point now);
    void stop_if_drained(time_point now);
    bool can_serve(time_point now) const;
    std::size_t in_flight() const;

    node_identity m_self;
    outbox m_out;
    commands m_commands;
    std::shared_ptr<const settings_index> m_settings;

    peer_sessions m_sessions;
    heartbeats m_heartbeats;
    role_leases m_leases;
    settings_spread m_spread;
    quarantine m_quarantine;
    current_rights m_rights;
    latency_estimate m_latencies;
    extra_send_budget m_budget;
    replica_choice m_replicas;
    version_pins m_pins;
    rate_home m_homes;
    rate_borrower m_rates;
    lookup_router m_lookup_router;
    id_records m_records;
    lookup_client m_lookups;
    owner_dispatch m_dispatch;
    query_coordinator m_queries;
    admission m_admission;
    role_duties m_duties;
    service_levels m_levels;
    pending_callers m_callers;

    bool m_view_confirmed = false;
    std::optional<time_point> m_leaving_since;
    bool m_leases_released = false;
    bool m_stopped = false;
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace cranberrywood

#endif
