#include "systems/members/peer_sessions.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Replaced processes remembered for each peer.
constexpr std::size_t max_dead_processes = 8;

// Envelopes from a process taken for dead, with none from its successor
// between them, that show that the two arrived in the wrong order.
constexpr std::uint32_t envelopes_to_revive = 8;

} // namespace

peer_sessions::peer_sessions(const node_identity& self) : m_self(self)
{
    m_sessions[self.vm].process = self.process;
}

std::optional<peer_envelope> peer_sessions::wrap(vm_id to, peer_message message)
{
    session& peer = m_sessions[to];
    const bool introduces = std::holds_alternative<heartbeat>(message);
    if (!peer.process.is_set() && !introduces) {
        ++m_drops.unaddressable;
        return std::nullopt;
    }
    peer_envelope envelope;
    envelope.from = m_self.vm;
    envelope.from_incarnation = m_self.process;
    envelope.to_incarnation = peer.process;
    envelope.sequence = ++peer.next_sequence;
    envelope.body = std::move(message);
    return envelope;
}

bool peer_sessions::accept(const peer_envelope& envelope)
{
    const bool addressed = envelope.to_incarnation.is_set();
    const bool introduces = std::holds_alternative<heartbeat>(envelope.body);
    if (!envelope.from.is_set() || !envelope.from_incarnation.is_set() ||
        envelope.sequence == 0 || (!addressed && !introduces)) {
        ++m_drops.malformed;
        return false;
    }
    if (addressed && envelope.to_incarnation != m_self.process) {
        ++m_drops.misaddressed;
        m_misaddressed.push_back(envelope.from);
        // Two processes that take each other's predecessor for present send
        // nothing but this kind; it has to tell that the sender lives.
        if (find_dead(envelope.from, envelope.from_incarnation) != nullptr) {
            admit_process(envelope.from, m_sessions[envelope.from], envelope);
        }
        return false;
    }
    session& peer = m_sessions[envelope.from];
    return admit_process(envelope.from, peer, envelope) &&
           admit_sequence(peer, envelope.sequence);
}

std::vector<vm_id> peer_sessions::take_restarted()
{
    return std::exchange(m_restarted, {});
}

std::vector<vm_id> peer_sessions::take_misaddressed()
{
    return std::exchange(m_misaddressed, {});
}

incarnation peer_sessions::process_of(vm_id peer) const
{
    const auto found = m_sessions.find(peer);
    return found == m_sessions.end() ? incarnation() : found->second.process;
}

const session_drops& peer_sessions::drops() const
{
    return m_drops;
}

bool peer_sessions::admit_process(vm_id from, session& peer,
                                  const peer_envelope& envelope)
{
    const incarnation process = envelope.from_incarnation;
    if (peer.process == process) {
        for (dead_process& dead : peer.dead) {
            dead.heard = 0;
        }
        return true;
    }
    if (dead_process* dead = find_dead(from, process)) {
        return admit_dead(from, peer, *dead, envelope.sequence);
    }
    replace(from, peer, process);
    return true;
}

peer_sessions::dead_process* peer_sessions::find_dead(vm_id from,
                                                      incarnation process)
{
    const auto peer = m_sessions.find(from);
    if (peer == m_sessions.end()) {
        return nullptr;
    }
    for (dead_process& dead : peer->second.dead) {
        if (dead.process == process) {
            return &dead;
        }
    }
    return nullptr;
}

// Incarnations have no order. When a young process first hears the successor
// and then an envelope of the predecessor that was under way for long, it
// takes the successor for dead. The successor goes on sending while the other
// is silent, which tells; its sequences up to now stay closed.
bool peer_sessions::admit_dead(vm_id from, session& peer, dead_process& dead,
                               std::uint64_t sequence)
{
    const bool is_new = sequence > dead.highest;
    dead.highest = std::max(dead.highest, sequence);
    dead.heard += is_new ? 1 : 0;
    if (dead.heard < envelopes_to_revive || !is_new) {
        ++m_drops.superseded;
        return false;
    }
    const dead_process revived = dead;
    peer.dead.erase(peer.dead.begin() + (&dead - peer.dead.data()));
    replace(from, peer, revived.process);
    peer.incoming = sequence_window(revived.highest - 1);
    return true;
}

void peer_sessions::replace(vm_id from, session& peer, incarnation process)
{
    if (peer.process.is_set()) {
        if (peer.dead.size() == max_dead_processes) {
            peer.dead.erase(peer.dead.begin());
        }
        peer.dead.push_back({peer.process, peer.incoming.highest(), 0});
        m_restarted.push_back(from);
    }
    peer.process = process;
    peer.incoming = sequence_window();
}

bool peer_sessions::admit_sequence(session& peer, std::uint64_t sequence)
{
    switch (peer.incoming.mark(sequence)) {
    case sequence_state::fresh:
        return true;
    case sequence_state::duplicate:
        ++m_drops.duplicate;
        return false;
    case sequence_state::too_old:
        ++m_drops.too_old;
        return false;
    }
    return false;
}

} // namespace cranberrywood
