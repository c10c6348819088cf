#include "systems/members/peer_sessions.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Replaced processes kept per peer.
constexpr std::size_t max_replaced_processes = 8;

// Consecutive new envelopes from a process regarded as replaced, with none from
// its supposed successor, after which it is reinstated: the first envelopes of
// the two processes arrived out of order.
constexpr std::uint32_t envelopes_to_reinstate = 8;

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
        // Two processes that each regard the other's predecessor as current
        // send only misaddressed envelopes, so these must count as a sign of
        // life.
        if (find_replaced(envelope.from, envelope.from_incarnation) !=
            nullptr) {
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
        for (replaced_process& replaced : peer.replaced) {
            replaced.new_envelopes = 0;
        }
        return true;
    }
    if (replaced_process* replaced = find_replaced(from, process)) {
        return admit_replaced(from, peer, *replaced, envelope.sequence);
    }
    replace(from, peer, process);
    return true;
}

peer_sessions::replaced_process*
peer_sessions::find_replaced(vm_id from, incarnation process)
{
    const auto peer = m_sessions.find(from);
    if (peer == m_sessions.end()) {
        return nullptr;
    }
    for (replaced_process& replaced : peer->second.replaced) {
        if (replaced.process == process) {
            return &replaced;
        }
    }
    return nullptr;
}

// Incarnations have no order. A process that first receives an envelope of a
// peer's new process and then a delayed one of its predecessor wrongly regards
// the new process as replaced. The new process keeps sending while the
// predecessor is silent, so it is reinstated; sequence numbers below the
// current one stay rejected.
bool peer_sessions::admit_replaced(vm_id from, session& peer,
                                   replaced_process& replaced,
                                   std::uint64_t sequence)
{
    const bool is_new = sequence > replaced.highest;
    replaced.highest = std::max(replaced.highest, sequence);
    replaced.new_envelopes += is_new ? 1 : 0;
    if (replaced.new_envelopes < envelopes_to_reinstate || !is_new) {
        ++m_drops.superseded;
        return false;
    }
    const replaced_process reinstated = replaced;
    peer.replaced.erase(peer.replaced.begin() +
                        (&replaced - peer.replaced.data()));
    replace(from, peer, reinstated.process);
    peer.incoming = sequence_window(reinstated.highest - 1);
    return true;
}

void peer_sessions::replace(vm_id from, session& peer, incarnation process)
{
    if (peer.process.is_set()) {
        if (peer.replaced.size() == max_replaced_processes) {
            peer.replaced.erase(peer.replaced.begin());
        }
        peer.replaced.push_back({peer.process, peer.incoming.highest(), 0});
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
