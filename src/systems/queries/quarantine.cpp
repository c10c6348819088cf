#include "systems/queries/quarantine.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Number of strikes at which a request is refused. */
constexpr std::uint32_t refusal_threshold = 2;
/** Crashes on several shards within this time count as one strike. */
constexpr duration crash_window = std::chrono::seconds(1);
/** Maximum number of tracked fingerprints. */
constexpr std::size_t max_suspects = 4096;
/** Number of VMs that are sent a refusal, or a notice again, per tick. */
constexpr std::size_t notices_per_tick = 32;
/** Interval at which notices of strikes are repeated until they expire. */
constexpr duration repeat_interval = std::chrono::seconds(2);

} // namespace

quarantine::quarantine(vm_id self, role_view& roles)
    : m_self(self), m_roles(roles)
{
}

void quarantine::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

quarantine_status quarantine::check(fingerprint print, time_point now) const
{
    const auto found = m_suspects.find(print);
    if (found == m_suspects.end() || now >= found->second.until) {
        return quarantine_status::free;
    }
    return found->second.strikes >= refusal_threshold
               ? quarantine_status::refused
               : quarantine_status::retry_limited;
}

bool quarantine::may_hedge(fingerprint print, time_point now) const
{
    return check(print, now) == quarantine_status::free;
}

bool quarantine::may_retry(fingerprint print, std::size_t sends,
                           time_point now) const
{
    switch (check(print, now)) {
    case quarantine_status::free:
        return true;
    case quarantine_status::retry_limited:
        return sends < 2;
    case quarantine_status::refused:
        return false;
    }
    return false;
}

bool quarantine::may_share(fingerprint print,
                           const std::vector<fingerprint>& others,
                           time_point now) const
{
    if (check(print, now) == quarantine_status::free) {
        return true;
    }
    return std::all_of(others.begin(), others.end(), [&](fingerprint other) {
        return other == print || check(other, now) == quarantine_status::free;
    });
}

void quarantine::record_server_crash(
    backend_server_id server, const std::vector<request_at_crash>& requests,
    time_point now, outbox& out)
{
    const auto* settings =
        m_settings == nullptr ? nullptr : m_settings->find(server);
    if (settings == nullptr) {
        return;
    }
    const std::set<vm_id> owners = owners_of_replicas(settings->shard);
    std::set<fingerprint> struck;
    for (const auto& request : requests) {
        if (struck.insert(request.print).second) {
            add_strike(request, settings->shard, owners, now, out);
        }
    }
}

void quarantine::record_completion(fingerprint print, shard_id shard)
{
    const auto found = m_suspects.find(print);
    if (found == m_suspects.end() ||
        found->second.strikes >= refusal_threshold) {
        return;
    }
    suspect& s = found->second;
    s.shards.erase(shard);
    if (s.shards.empty() && s.reporters.empty()) {
        m_suspects.erase(found);
    }
}

void quarantine::record_full_completion(fingerprint print, outbox& out)
{
    const auto found = m_suspects.find(print);
    if (found == m_suspects.end() ||
        found->second.strikes >= refusal_threshold) {
        return;
    }
    clear(found, m_self, out);
}

// Two VMs may report the same crash, so the larger count is taken instead of
// the sum. The shard is stored because the next crash on it is detected by the
// owner of another replica, which may be this VM. A repeated notice changes
// nothing: the request may have completed on that shard since.
void quarantine::receive(vm_id from, const quarantine_notice& notice,
                         time_point now, outbox& out)
{
    const auto found = m_suspects.find(notice.print);
    if (notice.strikes == 0) {
        const bool suspected = found != m_suspects.end() &&
                               found->second.strikes < refusal_threshold;
        if (suspected) {
            clear(found, from, out);
        }
        return;
    }
    if (from == m_self) {
        return;
    }
    suspect& s = find_or_insert(notice.print);
    s.reporters.insert(from);
    const bool other_shard =
        notice.shard.is_set() && s.struck_shards.insert(notice.shard).second;
    if (!other_shard && notice.strikes <= s.strikes) {
        return;
    }
    s.strikes = std::max(s.strikes, notice.strikes);
    s.until =
        std::max(s.until, now + std::min(notice.valid_for, strike_lifetime()));
    s.last_strike = s.until - strike_lifetime();
    s.repeat_at = now + repeat_interval;
    if (notice.shard.is_set()) {
        s.shards.insert(notice.shard);
    }
}

void quarantine::tick(time_point now, outbox& out)
{
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        it = now >= it->second.until ? m_suspects.erase(it) : std::next(it);
    }
    broadcast_refusals(now, out);
    repeat_notices(now, out);
}

std::size_t quarantine::size() const
{
    return m_suspects.size();
}

duration quarantine::strike_lifetime() const
{
    return m_settings == nullptr ? duration(0) : m_settings->fleet().quarantine;
}

// Forwards the clearance to every VM that reported or was notified, except the
// VM it came from.
void quarantine::clear(suspects_by_print::iterator it, vm_id source,
                       outbox& out)
{
    std::set<vm_id> receivers = it->second.notified;
    receivers.insert(it->second.reporters.begin(), it->second.reporters.end());
    for (const auto receiver : receivers) {
        if (receiver != source) {
            out.to_peer(receiver, quarantine_notice{it->first, 0, duration(0),
                                                    shard_id()});
        }
    }
    m_suspects.erase(it);
}

quarantine::suspect& quarantine::find_or_insert(fingerprint print)
{
    if (m_suspects.count(print) == 0 && m_suspects.size() >= max_suspects) {
        evict_one();
    }
    return m_suspects[print];
}

// Refused requests are evicted last: running one of them again would crash a
// server.
void quarantine::evict_one()
{
    const auto before = [](const auto& a, const auto& b) {
        const bool a_refused = a.second.strikes >= refusal_threshold;
        const bool b_refused = b.second.strikes >= refusal_threshold;
        return a_refused != b_refused ? b_refused
                                      : a.second.until < b.second.until;
    };
    m_suspects.erase(
        std::min_element(m_suspects.begin(), m_suspects.end(), before));
}

// A query runs on many shards at once. When one request crashes servers of
// several shards, every other query in flight was on the same servers, so
// crashes within the window count as one strike. A second crash on the same
// shard always counts, as the request was run there again.
void quarantine::add_strike(const request_at_crash& request, shard_id shard,
                            const std::set<vm_id>& owners, time_point now,
                            outbox& out)
{
    suspect& s = find_or_insert(request.print);
    const bool again = s.shards.count(shard) > 0;
    const bool same_window =
        s.strikes > 0 && now - s.last_strike < crash_window;
    s.shards.insert(shard);
    s.struck_shards.insert(shard);
    s.until = now + strike_lifetime();
    if (same_window && !again) {
        return;
    }
    s.strikes += 1;
    s.last_strike = now;
    const quarantine_notice notice{request.print, s.strikes, strike_lifetime(),
                                   shard};
    s.repeat_at = now + repeat_interval;
    if (s.strikes == refusal_threshold) {
        m_broadcasts.push_back({request.print, 0});
        out.log(log_code::request_refused_after_crashes,
                "fingerprint=" + std::to_string(request.print.value()));
    }
    std::set<vm_id> receivers = owners;
    receivers.insert(request.entry);
    for (const auto receiver : receivers) {
        if (receiver.is_set() && receiver != m_self) {
            s.notified.insert(receiver);
            out.to_peer(receiver, notice);
        }
    }
}

std::set<vm_id> quarantine::owners_of_replicas(shard_id shard) const
{
    std::set<vm_id> owners;
    for (const auto replica : m_settings->replicas_of(shard)) {
        const auto group =
            m_roles.map().owner_group(*m_settings->find(replica));
        const vm_id owner = m_roles.believed_holder(group);
        if (owner.is_set()) {
            owners.insert(owner);
        }
    }
    return owners;
}

// A notice is lost with its link, and a VM that restarts forgets it. Every VM
// that knows of a strike repeats it to those that own replicas of the shard at
// that time, so that one of them is enough.
void quarantine::repeat_notices(time_point now, outbox& out)
{
    if (m_settings == nullptr) {
        return;
    }
    std::size_t sent = 0;
    for (auto& [print, s] : m_suspects) {
        if (now < s.repeat_at) {
            continue;
        }
        if (sent >= notices_per_tick) {
            return;
        }
        s.repeat_at = now + repeat_interval;
        for (const shard_id shard : s.struck_shards) {
            sent += repeat_notice(print, s, shard, now, out);
        }
    }
}

std::size_t quarantine::repeat_notice(fingerprint print, suspect& s,
                                      shard_id shard, time_point now,
                                      outbox& out)
{
    const std::set<vm_id> owners = owners_of_replicas(shard);
    s.notified.insert(owners.begin(), owners.end());
    s.notified.erase(m_self);
    for (const vm_id receiver : s.notified) {
        out.to_peer(receiver,
                    quarantine_notice{print, s.strikes, s.until - now, shard});
    }
    return s.notified.size();
}

void quarantine::broadcast_refusals(time_point now, outbox& out)
{
    if (m_broadcasts.empty() || m_settings == nullptr) {
        return;
    }
    broadcast& s = m_broadcasts.back();
    const auto& vms = m_settings->all().vms;
    const std::size_t end = std::min(vms.size(), s.next + notices_per_tick);
    const auto found = m_suspects.find(s.print);
    for (; found != m_suspects.end() && s.next < end; ++s.next) {
        const quarantine_notice notice{s.print, found->second.strikes,
                                       found->second.until - now, shard_id()};
        out.to_peer(vms[s.next].id, notice);
    }
    if (found == m_suspects.end() || s.next >= vms.size()) {
        m_broadcasts.pop_back();
    }
}

} // namespace cranberrywood
