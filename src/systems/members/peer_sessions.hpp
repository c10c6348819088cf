#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_PEER_SESSIONS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_PEER_SESSIONS_HPP

#include "core/messages.hpp"
#include "core/node_identity.hpp"
#include "systems/lookups/sequence_window.hpp"

#include <optional>
#include <unordered_map>

namespace cranberrywood {

/** Envelopes that peer_sessions dropped, by cause. */
struct session_drops
{
    /** Addressed to an earlier process of this VM. */
    std::uint64_t misaddressed = 0;
    /** Sequence seen before. */
    std::uint64_t duplicate = 0;
    /** Sequence too old for the window, so possibly seen before. */
    std::uint64_t too_old = 0;
    /** From a process that a newer one of the same VM replaced. */
    std::uint64_t superseded = 0;
    /** Without sender, or unaddressed although no heartbeat. */
    std::uint64_t malformed = 0;
    /** Sends for which the peer's process was not known. */
    std::uint64_t unaddressable = 0;
};

/**
 * Sessions between this process and the process in each peer VM. Envelopes
 * out carry the incarnation of the process that they are meant for; envelopes
 * in are accepted at most once, and only from the peer's present process.
 */
class peer_sessions
{
public:
    explicit peer_sessions(const node_identity& self);

    /**
     * Puts a message into an envelope. Returns none while the peer's process
     * is unknown, save for a heartbeat, which then goes unaddressed.
     */
    std::optional<peer_envelope> wrap(vm_id to, peer_message message);

    /** Returns whether to act on an envelope; call once for each arrival. */
    bool accept(const peer_envelope& envelope);

    /**
     * Takes the peers in which a new process replaced a known one. Whatever
     * was in flight there is lost. Call it after each accept, and tell the
     * role leases before they see the envelope's message.
     */
    std::vector<vm_id> take_restarted();

    /**
     * Takes the peers that wrote to an earlier process of this VM. They need
     * a heartbeat to learn of this one.
     */
    std::vector<vm_id> take_misaddressed();

    /** Returns the peer's present process; unset when unknown. */
    incarnation process_of(vm_id peer) const;

    /** Returns the counts of dropped envelopes since the start. */
    const session_drops& drops() const;

private:
    /** A replaced process, with what it may still send. */
    struct dead_process
    {
        incarnation process;
        std::uint64_t highest = 0;
        std::uint32_t heard = 0;
    };

    struct session
    {
        incarnation process;
        std::uint64_t next_sequence = 0;
        sequence_window incoming;
        std::vector<dead_process> dead;
    };

    bool admit_process(vm_id from, session& peer,
                       const peer_envelope& envelope);
    dead_process* find_dead(vm_id from, incarnation process);
    bool admit_dead(vm_id from, session& peer, dead_process& dead,
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
