#include "systems/rates/rate_slices.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t milli = 1000;
/** Term of a loan, counted by the borrower from its ask. */
constexpr duration loan_term = 2s;
/** Margin before the end of the term at which a borrower stops. */
constexpr duration term_margin = 50ms;
/** A loan that ends this soon is asked for again. */
constexpr duration renew_before = 800ms;
/** Asks without a grant are forgotten after the term. */
constexpr std::size_t peers_asked = 8;
/** Least rate that is worth a loan: a fifth of a request a second. */
constexpr std::uint64_t least_loan = milli / 5;
/** Part of a second's rate that loans add to the burst. */
constexpr std::uint64_t loan_burst_divisor = 2;

/** Demand with room for its variation, in percent of the average. */
constexpr std::uint64_t needed_percent = 130;
constexpr std::uint64_t kept_percent = 130;
/** Part of its own slice that a VM never lends, for demand that begins. */
constexpr std::uint64_t kept_divisor = 8;

} // namespace

void rate_slices::catalogue_changed(std::shared_ptr<const catalogue> limits)
{
    m_limits = std::move(limits);
}

void rate_slices::fleet_changed(std::uint32_t vms)
{
    m_vms = std::max(1U, vms);
}

std::optional<duration> rate_slices::take(workspace_id workspace,
                                          time_point now)
{
    const workspace_entry* entry = limited(workspace);
    if (entry == nullptr) {
        return std::nullopt;
    }
    slice& s = slice_of(workspace, now);
    s.demand.add(1, now);
    const std::uint64_t rate = rate_of(*entry, s, now);
    const auto burst = static_cast<std::uint64_t>(entry->burst * milli / m_vms);
    const std::uint64_t room = std::max(
        tokens_per_request, burst + sum(s.held, now) / loan_burst_divisor);
    s.tokens.refill(rate, room, now);
    if (s.tokens.tokens() >= tokens_per_request) {
        s.tokens.take(tokens_per_request);
        return std::nullopt;
    }
    const std::uint64_t missing = tokens_per_request - s.tokens.tokens();
    return duration(1s) * missing / std::max<std::uint64_t>(1, rate);
}

std::vector<addressed_ask>
rate_slices::asks(const std::vector<std::string>& peers, time_point now)
{
    std::vector<addressed_ask> asks;
    m_asks.erase(m_asks.begin(),
                 std::find_if(m_asks.begin(), m_asks.end(), [&](const auto& a) {
                     return now - a.second.at < loan_term;
                 }));
    const std::size_t asked = std::min(peers.size(), peers_asked);
    for (auto& [workspace, s] : m_slices) {
        const workspace_entry* entry = limited(workspace);
        if (entry == nullptr || asked == 0) {
            continue;
        }
        const std::uint64_t demand =
            s.demand.expected_within(1s, now) * milli * needed_percent / 100;
        const std::uint64_t lasting =
            own_milli(*entry) - std::min(own_milli(*entry), sum(s.lent, now)) +
            sum_after(s.held, now + renew_before);
        if (demand <= lasting) {
            continue;
        }
        const std::uint64_t each =
            std::max(least_loan, (demand - lasting) * 2 / asked);
        for (std::size_t i = 0; i < asked; ++i) {
            m_asks[++m_last_ask] = {workspace, now};
            asks.push_back({peers[i], {m_last_ask, workspace, each}});
        }
    }
    return asks;
}

// A borrower that asks again may still use its last loan, so the lender
// counts the greater of the two until the last one has ended.
std::optional<rate_grant> rate_slices::lend(const std::string& to,
                                            const rate_ask& ask, time_point now)
{
    const workspace_entry* entry = limited(ask.workspace);
    if (entry == nullptr) {
        return std::nullopt;
    }
    slice& s = slice_of(ask.workspace, now);
    const std::uint64_t own = own_milli(*entry);
    const std::uint64_t demand =
        s.demand.expected_within(1s, now) * milli * kept_percent / 100;
    const std::uint64_t lent_to_all = sum(s.lent, now);
    const auto running = s.lent.find(to);
    const std::uint64_t last =
        running == s.lent.end() ? 0 : running->second.rate_milli;
    const std::uint64_t used =
        std::max(demand, own / kept_divisor) + lent_to_all - last;
    const std::uint64_t lent =
        std::min(ask.rate_milli, own > used ? own - used : 0);
    if (lent < least_loan) {
        return std::nullopt;
    }
    s.lent[to] = {std::max(lent, last), now + loan_term};
    return rate_grant{ask.ask, ask.workspace, lent, loan_term};
}

void rate_slices::borrowed(const std::string& from, const rate_grant& grant)
{
    const auto found = m_asks.find(grant.ask);
    if (found == m_asks.end() || found->second.workspace != grant.workspace) {
        return;
    }
    const time_point asked_at = found->second.at;
    m_asks.erase(found);
    slice& s = slice_of(grant.workspace, asked_at);
    s.held[from] = {grant.rate_milli,
                    asked_at + std::min(grant.term, loan_term) - term_margin};
}

std::uint64_t rate_slices::rate_milli(workspace_id workspace, time_point now)
{
    const workspace_entry* entry = limited(workspace);
    return entry == nullptr ? 0
                            : rate_of(*entry, slice_of(workspace, now), now);
}

const workspace_entry* rate_slices::limited(workspace_id workspace) const
{
    if (m_limits == nullptr) {
        return nullptr;
    }
    const auto found = m_limits->workspaces().find(workspace);
    const bool has_limit =
        found != m_limits->workspaces().end() && found->second.rate > 0.0;
    return has_limit ? &found->second : nullptr;
}

rate_slices::slice& rate_slices::slice_of(workspace_id workspace,
                                          time_point now)
{
    return m_slices.try_emplace(workspace, now).first->second;
}

std::uint64_t rate_slices::own_milli(const workspace_entry& entry) const
{
    return static_cast<std::uint64_t>(entry.rate * milli / m_vms);
}

std::uint64_t rate_slices::rate_of(const workspace_entry& entry, slice& s,
                                   time_point now) const
{
    const std::uint64_t own = own_milli(entry);
    const std::uint64_t lent = sum(s.lent, now);
    return own - std::min(own, lent) + sum(s.held, now);
}

std::uint64_t rate_slices::sum(loans& of, time_point now)
{
    std::uint64_t total = 0;
    for (auto it = of.begin(); it != of.end();) {
        if (it->second.until <= now) {
            it = of.erase(it);
        } else {
            total += it->second.rate_milli;
            ++it;
        }
    }
    return total;
}

std::uint64_t rate_slices::sum_after(const loans& of, time_point at)
{
    std::uint64_t total = 0;
    for (const auto& [from, l] : of) {
        total += l.until > at ? l.rate_milli : 0;
    }
    return total;
}

} // namespace cranberrywood
