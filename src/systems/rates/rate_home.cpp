#include "systems/rates/rate_home.hpp"

#include "systems/rates/max_min.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Maximum validity of a loan. */
constexpr duration max_loan_validity = std::chrono::seconds(1);
/** Maximum time for which an ask waits for tokens. */
constexpr duration max_ask_wait = std::chrono::milliseconds(100);
/** Half-life of a borrower's recent grants. */
constexpr duration recent_half_life = std::chrono::seconds(1);
/** Maximum number of borrowers of one workspace. */
constexpr std::size_t max_borrowers = 4096;

constexpr std::int64_t millionths = 1000000;

} // namespace

rate_home::rate_home(role_view& roles) : m_roles(roles) {}

void rate_home::settings_changed(std::shared_ptr<const settings_index> settings,
                                 time_point now)
{
    // Time passed so far is credited at the rate in force until now.
    for (auto& [workspace, h] : m_homes) {
        refill(workspace, h, now);
    }
    m_settings = std::move(settings);
}

void rate_home::start(workspace_id workspace, time_point now)
{
    m_homes.erase(workspace);
    m_homes.emplace(workspace, home(now));
}

void rate_home::stop(workspace_id workspace)
{
    m_homes.erase(workspace);
}

void rate_home::drain(workspace_id workspace)
{
    const auto found = m_homes.find(workspace);
    if (found != m_homes.end()) {
        found->second.draining = true;
    }
}

bool rate_home::drained(workspace_id workspace, time_point now) const
{
    const auto found = m_homes.find(workspace);
    if (found == m_homes.end()) {
        return true;
    }
    const auto& list = found->second.borrowers;
    return std::none_of(list.begin(), list.end(), [&](const auto& entry) {
        const borrower& b = entry.second;
        return b.held.unexpired(now) + b.granted.unexpired(now) > 0;
    });
}

void rate_home::receive(vm_id from, const loan_ask& ask, time_point now,
                        outbox& out)
{
    const auto found = m_homes.find(ask.workspace);
    const role_group_id group = m_roles.map().home_group(ask.workspace);
    if (found == m_homes.end() || !m_roles.holds(group, now)) {
        out.to_peer(from, loan_grant{ask.workspace, ask.round, 0, duration(0)});
        return;
    }
    home& h = found->second;
    if (h.borrowers.count(from) == 0 && h.borrowers.size() >= max_borrowers) {
        return;
    }
    borrower& b = h.borrowers[from];
    if (ask.round <= b.round) {
        return;
    }
    refill(ask.workspace, h, now);
    apply_ask(ask.workspace, h, b, ask, now);
    answer_waiting(ask.workspace, h, now, out);
}

void rate_home::peer_restarted(vm_id vm)
{
    for (auto& [workspace, h] : m_homes) {
        const auto found = h.borrowers.find(vm);
        if (found != h.borrowers.end()) {
            found->second.round = 0;
            found->second.wanted = 0;
        }
    }
}

void rate_home::tick(time_point now, outbox& out)
{
    for (auto& [workspace, h] : m_homes) {
        refill(workspace, h, now);
        answer_waiting(workspace, h, now, out);
        decay_recent(h, now);
    }
}

std::uint64_t rate_home::committed_tokens(workspace_id workspace,
                                          time_point now) const
{
    const auto found = m_homes.find(workspace);
    if (found == m_homes.end()) {
        return 0;
    }
    std::uint64_t sum = found->second.bucket.tokens();
    for (const auto& [vm, b] : found->second.borrowers) {
        sum += b.held.unexpired(now) + b.granted.unexpired(now);
    }
    return sum;
}

std::size_t rate_home::home_count() const
{
    return m_homes.size();
}

std::size_t rate_home::borrower_count() const
{
    std::size_t sum = 0;
    for (const auto& [workspace, h] : m_homes) {
        sum += h.borrowers.size();
    }
    return sum;
}

const workspace_settings* rate_home::find_limits(workspace_id workspace) const
{
    return m_settings == nullptr ? nullptr : m_settings->find(workspace);
}

std::uint64_t rate_home::free_burst(workspace_id workspace, const home& h,
                                    time_point now) const
{
    const workspace_settings* limits = find_limits(workspace);
    if (limits == nullptr) {
        return 0;
    }
    std::uint64_t lent = 0;
    for (const auto& [vm, b] : h.borrowers) {
        lent += b.held.unexpired(now) + b.granted.unexpired(now);
    }
    return limits->burst_milli - std::min(lent, limits->burst_milli);
}

void rate_home::refill(workspace_id workspace, home& h, time_point now) const
{
    const workspace_settings* limits = find_limits(workspace);
    const std::uint64_t rate = limits == nullptr ? 0 : limits->rate_milli;
    h.bucket.refill(rate, free_burst(workspace, h, now), now);
}

// An ask states what the borrower still holds and voids every grant that it
// has not received, so it replaces all earlier knowledge of its loans. Spent
// tokens are refilled only from now on: refilling them for the time before the
// report would let a window exceed the rate. Returned tokens are put back only
// as far as they were counted as lent until now, which excludes tokens of an
// earlier home and of expired loans.
void rate_home::apply_ask(workspace_id workspace, home& h, borrower& b,
                          const loan_ask& ask, time_point now) const
{
    const std::uint64_t lent = b.held.unexpired(now) + b.granted.unexpired(now);
    loan held;
    held.tokens = ask.held;
    held.until = std::max(b.held.until, b.granted.until);
    if (ask.held > lent) {
        held.until = now + with_drift(max_loan_validity);
    }
    b.held = held;
    b.granted = {};
    b.round = ask.round;
    b.asked_at = now;
    const workspace_settings* limits = find_limits(ask.workspace);
    const std::uint64_t burst = limits == nullptr ? 0 : limits->burst_milli;
    b.wanted = std::min(ask.wanted, burst);
    const std::uint64_t freed = lent - std::min(lent, ask.held);
    const std::uint64_t back = std::min(ask.returned, freed);
    h.bucket.put_back(back, free_burst(workspace, h, now));
}

// Under contention, tokens are allocated by max-min fairness over the recent
// grants. One round offers at most half of the bucket, so that an entry VM
// with little traffic finds tokens beside one that prefetches.
void rate_home::answer_waiting(workspace_id workspace, home& h, time_point now,
                               outbox& out)
{
    std::vector<borrowers_by_vm::value_type*> waiting;
    std::vector<max_min_claim> claims;
    for (auto& entry : h.borrowers) {
        if (entry.second.wanted > 0) {
            waiting.push_back(&entry);
            claims.push_back({entry.second.wanted, entry.second.recent, 0});
        }
    }
    const std::uint64_t tokens = h.bucket.tokens();
    const std::uint64_t offered =
        h.draining ? 0
                   : std::max(tokens / 2, std::min(tokens, tokens_per_request));
    allocate_max_min(claims, offered, tokens_per_request);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const bool waited = now - waiting[i]->second.asked_at >= max_ask_wait;
        if (claims[i].share > 0 || waited || h.draining) {
            grant(workspace, h, *waiting[i], claims[i].share, now, out);
        }
    }
}

void rate_home::grant(workspace_id workspace, home& h,
                      borrowers_by_vm::value_type& entry, std::uint64_t tokens,
                      time_point now, outbox& out) const
{
    auto& [vm, b] = entry;
    const duration life = loan_validity(workspace, now);
    const std::uint64_t granted = life > duration(0) ? tokens : 0;
    h.bucket.take(granted);
    b.wanted = 0;
    b.recent += granted;
    b.granted = {granted, now + with_drift(life)};
    out.to_peer(vm, loan_grant{workspace, b.round, granted, life});
}

void rate_home::decay_recent(home& h, time_point now) const
{
    while (now - h.decayed_at >= recent_half_life) {
        h.decayed_at += recent_half_life;
        for (auto& [vm, b] : h.borrowers) {
            b.recent /= 2;
        }
        if (now - h.decayed_at > 64 * recent_half_life) {
            h.decayed_at = now;
        }
    }
    const duration idle = 8 * max_loan_validity;
    for (auto it = h.borrowers.begin(); it != h.borrowers.end();) {
        const bool keep = now - it->second.asked_at < idle;
        it = keep ? std::next(it) : h.borrowers.erase(it);
    }
}

// The borrower counts the validity from the sending of its ask, which precedes
// now, so its loan expires before this lease even if the grant is delayed. A
// validity of zero after the lease has expired tells the borrower that this VM
// is not the home.
duration rate_home::loan_validity(workspace_id workspace, time_point now) const
{
    const role_group_id group = m_roles.map().home_group(workspace);
    if (!m_roles.holds(group, now)) {
        return duration(0);
    }
    const duration left = m_roles.held_until(group) - now;
    const duration safe = left - (with_drift(left) - left);
    return std::clamp(safe, duration(0), max_loan_validity);
}

duration rate_home::with_drift(duration d) const
{
    const std::int64_t drift =
        m_settings == nullptr ? 0 : m_settings->fleet().clock_drift_ppm;
    return d + duration(d.count() / millionths * drift + drift);
}

} // namespace cranberrywood
