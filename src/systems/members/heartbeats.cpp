#include "systems/members/heartbeats.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Hash salt that keeps the choice of heartbeat peers independent of the other
// rendezvous hashes.
constexpr std::uint64_t heartbeat_salt = 3;

// Missed heartbeats after which a VM counts as silent.
constexpr int max_missed_heartbeats = 3;

// Minimum interval between two introductions to the same VM.
constexpr duration introduction_interval = std::chrono::milliseconds(200);

// Silence after which a VM's state is evicted.
constexpr duration eviction_time = std::chrono::minutes(2);

std::uint64_t to_mark(time_point at)
{
    return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

time_point from_mark(std::uint64_t mark)
{
    return time_point(duration(static_cast<duration::rep>(mark)));
}

} // namespace

heartbeats::heartbeats(const node_identity& self) : m_self(self) {}

void heartbeats::settings_changed(
    std::shared_ptr<const settings_index> settings, time_point now)
{
    m_settings = std::move(settings);
    const std::vector<vm_id> before = m_heartbeat_peers;
    choose_heartbeat_peers();
    if (m_heartbeat_peers != before) {
        m_heartbeat_peers_since = now;
        m_next_due = now;
    }
}

void heartbeats::vm_list_changed(const vm_list_read& list)
{
    if (list.version < m_list) {
        return;
    }
    m_list = list.version;
    m_listed.clear();
    for (const listed_vm& entry : list.vms) {
        m_listed[entry.vm] = entry.leaving;
    }
}

void heartbeats::platform_answered(time_point now)
{
    m_platform_answered_at = now;
    m_confirmed_at = now;
}

void heartbeats::peer_restarted(vm_id vm)
{
    m_peers.erase(vm);
}

void heartbeats::heard(vm_id from, time_point now)
{
    if (from != m_self.vm) {
        m_peers[from].heard = now;
    }
}

void heartbeats::receive(vm_id from, const heartbeat& message, time_point now,
                         outbox& out)
{
    if (from == m_self.vm) {
        return;
    }
    peer_state& peer = m_peers[from];
    peer.heard = now;
    // These values only grow within one process, but messages may arrive out
    // of order.
    peer.revision = std::max(peer.revision, message.revision);
    peer.list = std::max(peer.list, message.list);
    peer.leaving = peer.leaving || message.leaving;
    peer.mark = std::max(peer.mark, message.mark);
    // An echo proves that the message was sent after this VM's heartbeat;
    // without one, the message may have been delayed for any time.
    const time_point asked = from_mark(message.echo);
    if (message.echo != 0 && asked >= m_self.started && asked <= now) {
        peer.answered = std::max(peer.answered.value_or(asked), asked);
        apply_confirmation(message, asked);
    }
    if (message.wants_reply) {
        send(from, false, now, out);
    }
}

void heartbeats::introduce_to(vm_id vm, time_point now, outbox& out)
{
    if (vm == m_self.vm || m_settings == nullptr ||
        m_settings->find(vm) == nullptr) {
        return;
    }
    const auto last = m_introduced_at.find(vm);
    if (last != m_introduced_at.end() &&
        now - last->second < introduction_interval) {
        return;
    }
    m_introduced_at[vm] = now;
    send(vm, true, now, out);
}

void heartbeats::leave(time_point now, outbox& out)
{
    m_leaving = true;
    std::vector<vm_id> targets = m_heartbeat_peers;
    for (const auto& [vm, peer] : m_peers) {
        if (!is_heartbeat_peer(vm) && heard_recently(vm, now)) {
            targets.push_back(vm);
        }
    }
    for (const vm_id vm : targets) {
        send(vm, false, now, out);
    }
}

void heartbeats::tick(time_point now, outbox& out)
{
    if (m_settings == nullptr || now < m_next_due) {
        return;
    }
    m_next_due = now + fleet().heartbeat_every;
    for (const vm_id vm : m_heartbeat_peers) {
        send(vm, true, now, out);
    }
    evict_silent(now);
}

bool heartbeats::view_confirmed(time_point now) const
{
    if (m_settings == nullptr) {
        return false;
    }
    if (m_confirmed_at && now - *m_confirmed_at <= fleet().view_life) {
        return true;
    }
    return peers_confirm(now);
}

bool heartbeats::is_likely_alive(vm_id vm, time_point now) const
{
    if (vm == m_self.vm || heard_recently(vm, now)) {
        return true;
    }
    if (m_settings == nullptr) {
        return false;
    }
    if (is_heartbeat_peer(vm) &&
        now - m_heartbeat_peers_since > silence_limit()) {
        return false;
    }
    if (m_list.is_set()) {
        return m_listed.count(vm) != 0;
    }
    return m_settings->find(vm) != nullptr;
}

bool heartbeats::is_leaving(vm_id vm) const
{
    if (vm == m_self.vm) {
        return m_leaving;
    }
    const peer_state* seen = find(vm);
    if (seen != nullptr && seen->mark != 0) {
        return seen->leaving;
    }
    const auto listed = m_listed.find(vm);
    return listed != m_listed.end() && listed->second;
}

const peer_state* heartbeats::find(vm_id vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? nullptr : &found->second;
}

const std::vector<vm_id>& heartbeats::heartbeat_peers() const
{
    return m_heartbeat_peers;
}

std::optional<vm_id> heartbeats::peer_with_newer_revision() const
{
    if (m_settings == nullptr) {
        return std::nullopt;
    }
    const peer_state* best = nullptr;
    vm_id newest;
    for (const auto& [vm, seen] : m_peers) {
        if (best == nullptr || seen.revision > best->revision) {
            best = &seen;
            newest = vm;
        }
    }
    if (best == nullptr || best->revision <= m_settings->all().revision) {
        return std::nullopt;
    }
    return newest;
}

list_version heartbeats::list() const
{
    return m_list;
}

const fleet_settings& heartbeats::fleet() const
{
    return m_settings->fleet();
}

void heartbeats::choose_heartbeat_peers()
{
    const auto seed = stable_hash(m_self.vm.value(), heartbeat_salt);
    std::vector<std::pair<std::uint64_t, vm_id>> scored;
    for (const auto& vm : m_settings->all().vms) {
        if (vm.id != m_self.vm) {
            scored.emplace_back(stable_hash(seed, vm.id.value()), vm.id);
        }
    }
    const std::size_t count =
        std::min<std::size_t>(scored.size(), fleet().witnesses);
    std::partial_sort(scored.begin(),
                      scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end());
    m_heartbeat_peers.clear();
    for (std::size_t i = 0; i < count; ++i) {
        m_heartbeat_peers.push_back(scored[i].second);
    }
}

heartbeat heartbeats::make_heartbeat(vm_id to, time_point now) const
{
    heartbeat message;
    if (m_settings != nullptr) {
        message.revision = m_settings->all().revision;
        const duration life = fleet().view_life;
        message.platform_answered =
            m_platform_answered_at && now - *m_platform_answered_at <= life;
        if (m_confirmed_at && now - *m_confirmed_at <= life) {
            message.confirmed_age =
                std::max(now - *m_confirmed_at, duration(1));
        }
    }
    message.list = m_list;
    message.leaving = m_leaving;
    message.mark = to_mark(now);
    if (const peer_state* peer = find(to)) {
        message.echo = peer->mark;
    }
    return message;
}

void heartbeats::send(vm_id to, bool wants_reply, time_point now, outbox& out)
{
    heartbeat message = make_heartbeat(to, now);
    message.wants_reply = wants_reply;
    out.to_peer(to, message);
}

void heartbeats::evict_silent(time_point now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool silent = now - it->second.heard > eviction_time;
        it = silent ? m_peers.erase(it) : std::next(it);
    }
    for (auto it = m_introduced_at.begin(); it != m_introduced_at.end();) {
        const bool done = now - it->second >= introduction_interval;
        it = done ? m_introduced_at.erase(it) : std::next(it);
    }
}

// A peer with no newer revision than this VM confirms that nothing newer was
// published when the platform answered it. Confirmation ages are relayed from
// peer to peer and only grow, so two VMs cannot confirm each other forever.
void heartbeats::apply_confirmation(const heartbeat& message, time_point asked)
{
    if (m_settings == nullptr || message.confirmed_age <= duration(0) ||
        message.revision > m_settings->all().revision) {
        return;
    }
    const time_point confirmed = asked - message.confirmed_age;
    m_confirmed_at = std::max(m_confirmed_at.value_or(confirmed), confirmed);
}

// While no VM reaches the platform, a majority of VMs in contact with each
// other confirms the view.
bool heartbeats::peers_confirm(time_point now) const
{
    std::size_t agreeing = 0;
    for (const vm_id vm : m_heartbeat_peers) {
        const peer_state* peer = find(vm);
        if (peer == nullptr || !peer->answered ||
            now - *peer->answered > fleet().view_life) {
            continue;
        }
        if (peer->revision > m_settings->all().revision) {
            return false;
        }
        ++agreeing;
    }
    return agreeing >= confirmations_needed();
}

// In a small fleet the heartbeat peers and this VM are all VMs, so a true
// majority is counted. In a large fleet the peers are a sample, and a majority
// of a sample may lie in the minority side of a partition; all but one of the
// sample rarely do.
std::size_t heartbeats::confirmations_needed() const
{
    const std::size_t others = m_heartbeat_peers.size();
    const std::size_t all = others + 1;
    if (all >= m_settings->all().vms.size()) {
        return all / 2;
    }
    return others - 1;
}

bool heartbeats::heard_recently(vm_id vm, time_point now) const
{
    const peer_state* seen = find(vm);
    return seen != nullptr && now - seen->heard <= silence_limit();
}

bool heartbeats::is_heartbeat_peer(vm_id vm) const
{
    return std::find(m_heartbeat_peers.begin(), m_heartbeat_peers.end(), vm) !=
           m_heartbeat_peers.end();
}

duration heartbeats::silence_limit() const
{
    if (m_settings == nullptr) {
        return fleet_settings().heartbeat_every * max_missed_heartbeats;
    }
    return fleet().heartbeat_every * max_missed_heartbeats;
}

} // namespace cranberrywood
