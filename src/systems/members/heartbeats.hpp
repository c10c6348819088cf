#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_HEARTBEATS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_HEARTBEATS_HPP

#include "core/events.hpp"
#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "settings/settings.hpp"
#include "systems/members/vm_liveness.hpp"

#include <memory>
#include <optional>
#include <unordered_map>

namespace cranberrywood {

/** State of another VM as learnt from its messages. */
struct peer_state
{
    /** Arrival of its latest message of any kind. */
    time_point heard;
    /** Send time of the latest heartbeat of this VM that it echoed. */
    std::optional<time_point> answered;
    /** Mark of its latest heartbeat, echoed in the next one sent to it. */
    std::uint64_t mark = 0;
    revision_number revision;
    list_version list;
    bool leaving = false;
};

/**
 * Sends and receives heartbeats. Each VM sends to a bounded set of peers and
 * replies on request, so the cost does not grow with the fleet; any other VM
 * gets a single heartbeat on demand. Decides from the messages received which
 * VMs are alive and whether this VM's view of the settings is confirmed.
 */
class heartbeats : public vm_liveness
{
public:
    explicit heartbeats(const node_identity& self);

    /** Applies the settings revision in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now);

    /** Applies the platform's VM list; older versions are ignored. */
    void vm_list_changed(const vm_list_read& list);

    /** Records that the platform answered with nothing newer. */
    void platform_answered(time_point now);

    /** Clears the state learnt from an earlier process of a VM. */
    void peer_restarted(vm_id vm);

    /** Records that an accepted message of a VM arrived. */
    void heard(vm_id from, time_point now);

    /** Handles a heartbeat. */
    void receive(vm_id from, const heartbeat& message, time_point now,
                 outbox& out);

    /**
     * Sends a heartbeat that introduces this process to a VM and requests a
     * reply, which carries the VM's incarnation. Rate-limited. Call it whenever
     * a message to the VM could not be addressed, or the VM addressed an
     * earlier process.
     */
    void introduce_to(vm_id vm, time_point now, outbox& out);

    /** Marks this VM as leaving and notifies all VMs heard recently. */
    void leave(time_point now, outbox& out);

    /** Sends the heartbeats that are due. */
    void tick(time_point now, outbox& out);

    /**
     * Returns whether the settings in force are confirmed as current, by the
     * platform or, while it is unreachable, by enough peers.
     */
    bool view_confirmed(time_point now) const;

    bool is_likely_alive(vm_id vm, time_point now) const override;
    bool is_leaving(vm_id vm) const override;

    /** Returns the state of a VM, or null when no message arrived. */
    const peer_state* find(vm_id vm) const;

    /** Returns the VMs that get a heartbeat in every interval. */
    const std::vector<vm_id>& heartbeat_peers() const;

    /** Returns the VM with the newest revision above the one in force. */
    std::optional<vm_id> peer_with_newer_revision() const;

    /** Returns the version of the latest VM list applied. */
    list_version list() const;

private:
    const fleet_settings& fleet() const;
    void choose_heartbeat_peers();
    heartbeat make_heartbeat(vm_id to, time_point now) const;
    void send(vm_id to, bool wants_reply, time_point now, outbox& out);
    void evict_silent(time_point now);
    void apply_confirmation(const heartbeat& message, time_point asked);
    bool peers_confirm(time_point now) const;
    std::size_t confirmations_needed() const;
    bool heard_recently(vm_id vm, time_point now) const;
    bool is_heartbeat_peer(vm_id vm) const;
    duration silence_limit() const;

    node_identity m_self;
    std::shared_ptr<const settings_index> m_settings;
    std::vector<vm_id> m_heartbeat_peers;
    time_point m_heartbeat_peers_since;
    std::unordered_map<vm_id, peer_state> m_peers;
    std::unordered_map<vm_id, time_point> m_introduced_at;
    std::unordered_map<vm_id, bool> m_listed;
    list_version m_list;
    std::optional<time_point> m_platform_answered_at;
    // Time of the newest platform answer, direct or relayed by a peer, that
    // confirms the view, by this VM's clock; never later than the answer.
    std::optional<time_point> m_confirmed_at;
    time_point m_next_due;
    bool m_leaving = false;
};

} // namespace cranberrywood

#endif
