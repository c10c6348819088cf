#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_PEER_SESSIONS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_PEER_SESSIONS_HPP

#include "core/messages.hpp"
#include "core/node_identity.hpp"
#include "systems/lookups/sequence_window.hpp"

#include <optional>
#include <unordered_map>

namespace cranberrywood {

/** Numbers of envelopes that peer_sessions dropped, by cause. */
struct session_drops
{
    /** Addressed to an earlier process of this VM. */
    std::uint64_t misaddressed = 0;
    /** Sequence number already received. */
    std::uint64_t duplicate = 0;
    /** Sequence number below the window, so possibly already received. */
    std::uint64_t too_old = 0;
    /** From a process that was replaced by a newer one on the same VM. */
    std::uint64_t superseded = 0;
    /** Without sender, or unaddressed and not a heartbeat. */
    std::uint64_t malformed = 0;
    /** Not sent because the peer's process was unknown. */
    std::uint64_t unaddressable = 0;
};

/**
 * Sessions between this process and the current process on each peer VM. An
 * outgoing envelope carries the incarnation of the process it is addressed to;
 * an incoming one is accepted at most once, and only from the peer's current
 * process.
 */
class peer_sessions
{
public:
    explicit peer_sessions(const node_identity& self);

    /**
     * Wraps a message in an envelope. Returns none while the peer's process is
     * unknown, except for a heartbeat, which is then sent unaddressed.
     */
    std::optional<peer_envelope> wrap(vm_id to, peer_message message);

    /** Returns whether to handle an envelope; call once for each arrival. */
    bool accept(const peer_envelope& envelope);

    /**
     * Takes the peers on which a new process replaced a known one; all that was
     * in flight to the old one is lost. Call it after each accept, and notify
     * the role leases before they handle the envelope's message.
     */
    std::vector<vm_id> take_restarted();

    /**
     * Takes the peers that addressed an earlier process of this VM. They need
     * a heartbeat to learn this process's incarnation.
     */
    std::vector<vm_id> take_misaddressed();

    /** Returns the peer's current process; unset when unknown. */
    incarnation process_of(vm_id peer) const;

    /** Returns the numbers of envelopes dropped since the start. */
    const session_drops& drops() const;

private:
    /** A replaced process, whose late envelopes may still arrive. */
    struct replaced_process
    {
        incarnation process;
        std::uint64_t highest = 0;
        /** Received since the current process was last heard. */
        std::uint32_t new_envelopes = 0;
    };

    struct session
    {
        incarnation process;
        std::uint64_t next_sequence = 0;
        sequence_window incoming;
        std::vector<replaced_process> replaced;
    };

    bool admit_process(vm_id from, session& peer,
                       const peer_envelope& envelope);
    replaced_process* find_replaced(vm_id from, incarnation process);
    bool admit_replaced(vm_id from, session& peer, replaced_process& replaced,
                        std::uint64_t sequence);
    void replace(vm_id from, session& peer, incarnation process);
    bool admit_sequence(session& peer, std::uint64_t sequence);

    node_identity m_self;
    std::unordered_map<vm_id, session> m_sessions;
    std::vector<vm_id> m_restarted;
    std::vector<vm_id> m_misaddressed;
    session_drops m_drops;
};

} // namespace cranberrywood

#endif
