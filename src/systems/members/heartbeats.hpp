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

/** What is known of another VM from its messages. */
struct peer_state
{
    /** When any message of it arrived last. */
    time_point heard;
    /** When this VM sent the heartbeat that its last one echoed. */
    std::optional<time_point> answered;
    /** Mark of its last heartbeat, to be echoed. */
    std::uint64_t mark = 0;
    revision_number revision;
    list_version list;
    bool leaving = false;
};

/**
 * Sends and collects heartbeats. Each VM sends to the few VMs of its own
 * witness set and answers those that ask, so the cost does not grow with the
 * fleet; any other VM is reached by one heartbeat on demand. Decides from what
 * arrives which VMs live and whether this VM's view of the settings is
 * confirmed.
 */
class heartbeats : public vm_liveness
{
public:
    explicit heartbeats(const node_identity& self);

    /** Takes a settings revision in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now);

    /** Takes the platform's list of VMs; older versions are ignored. */
    void vm_list_changed(const vm_list_read& list);

    /** Takes note that the platform answered with nothing newer. */
    void platform_answered(time_point now);

    /** Forgets what an earlier process of a VM sent. */
    void peer_restarted(vm_id vm);

    /** Takes note that an accepted message of a VM arrived. */
    void heard(vm_id from, time_point now);

    /** Handles a heartbeat. */
    void receive(vm_id from, const heartbeat& message, time_point now,
                 outbox& out);

    /**
     * Introduces this process to a VM and asks for an answer, which tells the
     * incarnation there. Rate-limited; call it whenever a message for the VM
     * lacked an envelope, or the VM wrote to an earlier process.
     */
    void introduce_to(vm_id vm, time_point now, outbox& out);

    /** Marks this VM as leaving and tells all VMs that were heard lately. */
    void leave(time_point now, outbox& out);

    /** Sends the heartbeats that are due. */
    void tick(time_point now, outbox& out);

    /**
     * Returns whether the settings in force are those that the platform, or
     * enough of the VMs without platform, hold by now.
     */
    bool view_confirmed(time_point now) const;

    bool is_likely_alive(vm_id vm, time_point now) const override;
    bool is_leaving(vm_id vm) const override;

    /** Returns what is known of a VM; null when nothing was heard. */
    const peer_state* find(vm_id vm) const;

    /** Returns the VMs to which heartbeats go by themselves. */
    const std::vector<vm_id>& heartbeat_peers() const;

    /** Returns a VM that named a newer revision than the one in force. */
    std::optional<vm_id> peer_with_newer_revision() const;

    /** Returns the version of the VM list that was taken last. */
    list_version list() const;

private:
    const fleet_settings& fleet() const;
    void choose_heartbeat_peers();
    heartbeat compose(vm_id to, time_point now) const;
    void send(vm_id to, bool wants_reply, time_point now, outbox& out);
    void forget_silent(time_point now);
    void take_confirmation(const heartbeat& message, time_point asked);
    bool peers_confirm(time_point now) const;
    std::size_t peers_needed() const;
    bool heard_lately(vm_id vm, time_point now) const;
    bool watches(vm_id vm) const;
    duration silence_limit() const;

    node_identity m_self;
    std::shared_ptr<const settings_index> m_settings;
    std::vector<vm_id> m_heartbeat_peers;
    time_point m_watching_since;
    std::unordered_map<vm_id, peer_state> m_sightings;
    std::unordered_map<vm_id, time_point> m_introduced;
    std::unordered_map<vm_id, bool> m_listed;
    list_version m_list;
    std::optional<time_point> m_platform_at;
    // Newest answer of the platform that the view rests on, by this VM's
    // clock; never later than the answer itself.
    std::optional<time_point> m_confirmed_at;
    time_point m_next_due;
    bool m_leaving = false;
};

} // namespace cranberrywood

#endif
