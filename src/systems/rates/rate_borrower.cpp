#include "systems/rates/rate_borrower.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using std::chrono::milliseconds;

/** Tokens are borrowed for the demand expected within this time. */
constexpr duration prefetch_time = milliseconds(100);
/** Time after which an unanswered ask counts as lost. */
constexpr duration ask_timeout = milliseconds(250);
/** Backoff after a grant without tokens or from a VM that is not the home. */
constexpr duration refused_backoff = milliseconds(20);
/** Delay of a spending report above the report threshold. */
constexpr duration short_report_delay = milliseconds(50);
/** Delay of a spending report below the report threshold. */
constexpr duration long_report_delay = milliseconds(500);
/** Time after which the state of an unused workspace is dropped. */
constexpr duration pool_idle_timeout = std::chrono::seconds(10);
/** Maximum number of loans of one workspace. */
constexpr std::size_t max_loans = 16;
/** Maximum number of waiting requests of one workspace. */
constexpr std::size_t max_queue = 4096;

template <class Loans>
std::uint64_t sum_of(const Loans& loans, time_point now)
{
    std::uint64_t sum = 0;
    for (const auto& l : loans) {
        sum += now < l.until ? l.tokens : 0;
    }
    return sum;
}

template <class Loans>
void drop_expired(Loans& loans, time_point now)
{
    const auto expired = [&](const auto& l) {
        return l.tokens == 0 || l.until <= now;
    };
    loans.erase(std::remove_if(loans.begin(), loans.end(), expired),
                loans.end());
}

// Loans are ordered by expiry. The loan that expires first is spent first and
// returned last.
template <class Loans>
void return_tokens(Loans& loans, std::uint64_t tokens)
{
    for (auto it = loans.rbegin(); it != loans.rend() && tokens > 0; ++it) {
        const std::uint64_t part = std::min(it->tokens, tokens);
        it->tokens -= part;
        tokens -= part;
    }
}

template <class Loans>
bool spend_one(Loans& loans, time_point now)
{
    for (auto& l : loans) {
        if (now < l.until && l.tokens >= tokens_per_request) {
            l.tokens -= tokens_per_request;
            return true;
        }
    }
    return false;
}

} // namespace

rate_borrower::rate_borrower(role_view& roles) : m_roles(roles) {}

void rate_borrower::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

void rate_borrower::request(caller_token caller, workspace_id workspace,
                            duration max_wait, time_point now, outbox& out)
{
    pool& p = m_pools[workspace];
    p.used_at = now;
    p.demand.add(1, now);
    drop_expired(p.loans, now);
    const waiting_request asked{caller, now + max_wait};
    if (p.queue.empty() && spend_one(p.loans, now)) {
        decide(asked, vm_id(), true);
    } else if (max_wait <= duration(0) || p.queue.size() >= max_queue) {
        decide(asked, p.refused_at, false);
    } else {
        p.queue.push_back(asked);
        m_waiting[caller] = workspace;
    }
    ask_if_low(workspace, p, now, out);
}

void rate_borrower::cancel(caller_token caller)
{
    const auto found = m_waiting.find(caller);
    if (found == m_waiting.end()) {
        return;
    }
    auto& queue = m_pools[found->second].queue;
    const auto it =
        std::find_if(queue.begin(), queue.end(),
                     [&](const auto& w) { return w.caller == caller; });
    if (it != queue.end()) {
        queue.erase(it);
    }
    m_waiting.erase(found);
}

std::vector<rate_decision> rate_borrower::take_decisions()
{
    return std::exchange(m_decisions, {});
}

// The validity is counted from the sending of the ask. The home counts it from
// a later time, so the loan expires here before it expires at the home.
void rate_borrower::receive(vm_id from, const loan_grant& grant, time_point now,
                            outbox& out)
{
    const auto found = m_pools.find(grant.workspace);
    if (found == m_pools.end()) {
        return;
    }
    pool& p = found->second;
    if (!p.asking || grant.round != p.round || from != p.asked) {
        return;
    }
    p.asking = false;
    if (grant.valid_for <= duration(0)) {
        clear_home(grant.workspace, from);
        p.ask_again_at = now + refused_backoff;
    } else if (grant.granted < tokens_per_request) {
        p.refused_at = from;
        p.ask_again_at = now + refused_backoff;
    } else {
        p.loans.push_back({grant.granted, p.asked_at + grant.valid_for});
        p.reported += grant.granted;
    }
    admit_waiting(grant.workspace, p, now, out);
}

void rate_borrower::tick(time_point now, outbox& out)
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        auto& [workspace, p] = *it;
        check_ask_timeout(workspace, p, now);
        admit_waiting(workspace, p, now, out);
        report_spending_if_due(workspace, p, now, out);
        const bool idle =
            p.queue.empty() && now - p.used_at >= pool_idle_timeout;
        it = idle ? m_pools.erase(it) : std::next(it);
    }
}

void rate_borrower::release_all(time_point now, outbox& out)
{
    for (auto& [workspace, p] : m_pools) {
        drop_expired(p.loans, now);
        if (sum_of(p.loans, now) + p.reported > 0) {
            send_ask(workspace, p, 0, 0, now, out);
        }
    }
}

std::uint64_t rate_borrower::tokens_held(workspace_id workspace,
                                         time_point now) const
{
    const auto found = m_pools.find(workspace);
    return found == m_pools.end() ? 0 : sum_of(found->second.loans, now);
}

std::size_t rate_borrower::waiting_count() const
{
    return m_waiting.size();
}

std::size_t rate_borrower::pool_count() const
{
    return m_pools.size();
}

void rate_borrower::admit_waiting(workspace_id workspace, pool& p,
                                  time_point now, outbox& out)
{
    drop_expired(p.loans, now);
    refuse_expired(p, now);
    while (!p.queue.empty() && spend_one(p.loans, now)) {
        decide(p.queue.front(), vm_id(), true);
        p.queue.pop_front();
    }
    ask_if_low(workspace, p, now, out);
}

// Deadlines differ between requests, so the whole queue is searched.
void rate_borrower::refuse_expired(pool& p, time_point now)
{
    for (auto it = p.queue.begin(); it != p.queue.end();) {
        if (now < it->deadline) {
            ++it;
            continue;
        }
        decide(*it, p.refused_at, false);
        it = p.queue.erase(it);
    }
}

void rate_borrower::ask_if_low(workspace_id workspace, pool& p, time_point now,
                               outbox& out)
{
    if (p.asking || now < p.ask_again_at) {
        return;
    }
    const std::uint64_t expected =
        p.demand.expected_within(prefetch_time, now) * tokens_per_request;
    const std::uint64_t have = sum_of(p.loans, now);
    const std::uint64_t queued = p.queue.size() * tokens_per_request;
    const bool low = queued > 0 || 2 * have < expected;
    if (!low) {
        return;
    }
    const std::uint64_t target = queued + expected;
    const std::uint64_t wanted = target - std::min(target, have);
    if (wanted == 0 || !send_ask(workspace, p, wanted, have, now, out)) {
        return;
    }
    p.asking = true;
}

// Until spent tokens are reported, the home counts them as lent and cannot
// refill its bucket by as much.
void rate_borrower::report_spending_if_due(workspace_id workspace, pool& p,
                                           time_point now, outbox& out)
{
    if (p.asking || p.reported == 0) {
        return;
    }
    const std::uint64_t have = sum_of(p.loans, now);
    const std::uint64_t expected =
        p.demand.expected_within(prefetch_time, now) * tokens_per_request;
    const std::uint64_t keep = std::min(have, 2 * expected);
    if (keep >= p.reported) {
        return;
    }
    const bool many = p.reported >= report_threshold(workspace);
    const duration delay = many ? short_report_delay : long_report_delay;
    if (now - p.asked_at >= delay) {
        send_ask(workspace, p, 0, keep, now, out);
    }
}

bool rate_borrower::send_ask(workspace_id workspace, pool& p,
                             std::uint64_t wanted, std::uint64_t keep,
                             time_point now, outbox& out)
{
    const role_group_id group = m_roles.map().home_group(workspace);
    const vm_id home = m_roles.believed_holder(group);
    if (!home.is_set()) {
        return false;
    }
    const std::uint64_t have = sum_of(p.loans, now);
    const std::uint64_t back = have - std::min(have, keep);
    return_tokens(p.loans, back);
    p.round = ++m_last_round;
    p.asking = false;
    p.asked = home;
    p.asked_at = now;
    p.reported = have - back;
    out.to_peer(home, loan_ask{workspace, p.round, wanted, have - back, back});
    return true;
}

void rate_borrower::check_ask_timeout(workspace_id workspace, pool& p,
                                      time_point now)
{
    if (p.asking && now - p.asked_at >= ask_timeout) {
        p.asking = false;
        clear_home(workspace, p.asked);
    }
}

void rate_borrower::clear_home(workspace_id workspace, vm_id asked)
{
    const role_group_id group = m_roles.map().home_group(workspace);
    if (m_roles.believed_holder(group) == asked) {
        m_roles.update_believed_holder(group, vm_id());
    }
}

// Below the threshold, the tokens that all VMs together have yet to report are
// at most half of the burst.
std::uint64_t rate_borrower::report_threshold(workspace_id workspace) const
{
    const workspace_settings* limits =
        m_settings == nullptr ? nullptr : m_settings->find(workspace);
    if (limits == nullptr) {
        return 0;
    }
    const std::uint64_t vms = m_settings->all().vms.size();
    return limits->burst_milli / (2 * std::max<std::uint64_t>(vms, 1));
}

void rate_borrower::decide(const waiting_request& request, vm_id refused_at,
                           bool granted)
{
    m_waiting.erase(request.caller);
    m_decisions.push_back({request.caller, granted, refused_at});
}

} // namespace cranberrywood
