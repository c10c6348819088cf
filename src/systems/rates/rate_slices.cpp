#include "systems/rates/rate_slices.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t milli = 1000;
/** Minimum number of holders, so that the loss of a few is tolerated. */
constexpr std::size_t min_holders = 4;
/** Rate in requests per second for which one holder is added. */
constexpr double rate_per_holder = 5.0;
/** Term of a loan; the borrower counts it from the sending of its ask. */
constexpr duration loan_term = 1s;
/** Margin before the end of the term at which the borrower stops spending. */
constexpr duration term_margin = 20ms;
/** Time after which an unanswered ask counts as lost. */
constexpr duration ask_timeout = 15ms;
/** Asks in a row that a holder leaves unanswered before it is passed over. */
constexpr std::uint32_t missed_until_silent = 2;
/** Time for which it is passed over. */
constexpr duration silence_backoff = 500ms;
/** Backoff after every holder has refused. */
constexpr duration refused_backoff = 100ms;
/** Maximum number of tokens in one loan. */
constexpr std::uint64_t max_loan = 16;
/** Tokens are borrowed for the demand expected within this time. */
constexpr duration prefetch_time = 300ms;
/** A lender keeps tokens for its own demand expected within this time. */
constexpr duration reserve_time = 200ms;

} // namespace

rate_slices::rate_slices(const member_directory& members) : m_members(members)
{
}

// Slices start to refill when their workspaces become known rather than with
// their first requests.
void rate_slices::catalogue_changed(std::shared_ptr<const catalogue> limits,
                                    time_point now)
{
    m_limits = std::move(limits);
    m_holders.clear();
    for (const auto& [workspace, entry] : m_limits->workspaces()) {
        slice_of(workspace, now);
    }
}

take_outcome rate_slices::take(workspace_id workspace, time_point now)
{
    const workspace_entry* entry = find_limit(workspace);
    if (entry == nullptr) {
        return {};
    }
    slice& s = slice_of(workspace, now);
    s.demand.add(1, now);
    drop_expired(s, now);
    for (loan& l : s.loans) {
        if (l.tokens >= tokens_per_request) {
            l.tokens -= tokens_per_request;
            return {};
        }
    }
    refill(*entry, s, now);
    if (s.own.tokens() >= tokens_per_request) {
        s.own.take(tokens_per_request);
        return {};
    }
    const duration spacing = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / entry->rate));
    return {now < s.no_asks_until ? take_result::refused
                                  : take_result::ask_others,
            std::max<duration>(refused_backoff, spacing)};
}

std::vector<addressed_ask> rate_slices::make_asks(workspace_id workspace,
                                                  std::uint32_t waiting,
                                                  time_point now)
{
    const workspace_entry* entry = find_limit(workspace);
    if (entry == nullptr) {
        return {};
    }
    slice& s = slice_of(workspace, now);
    if (s.unanswered > 0 && now - s.asked_at < ask_timeout) {
        return {};
    }
    if (s.unanswered > 0 && !s.asked.empty()) {
        record_silence(s.asked.back(), now);
    }
    s.unanswered = 0;
    std::vector<addressed_ask> asks;
    const std::uint64_t expected = s.demand.expected_within(prefetch_time, now);
    const std::uint64_t tokens = std::min<std::uint64_t>(
        max_loan, std::max<std::uint64_t>(waiting, expected));
    if (const auto holder = next_holder(*entry, s.asked, now)) {
        s.asked.push_back(*holder);
        asks.push_back(make_ask(*holder, workspace, tokens, now));
    }
    s.unanswered = static_cast<std::uint32_t>(asks.size());
    s.asked_at = now;
    if (asks.empty()) {
        s.asked.clear();
        s.no_asks_until = now + refused_backoff;
    }
    return asks;
}

std::vector<addressed_ask> rate_slices::make_prefetch_asks(time_point now)
{
    drop_old_asks(now);
    std::vector<addressed_ask> asks;
    for (auto& [workspace, s] : m_slices) {
        const workspace_entry* entry = find_limit(workspace);
        if (entry == nullptr || now < s.no_asks_until) {
            continue;
        }
        drop_expired(s, now);
        refill(*entry, s, now);
        const std::uint64_t needed =
            s.demand.expected_within(prefetch_time, now) * tokens_per_request;
        const std::uint64_t available = available_tokens(s);
        if (needed < available + tokens_per_request) {
            continue;
        }
        const std::uint64_t tokens =
            std::min(max_loan, (needed - available) / tokens_per_request);
        if (const auto holder = next_holder(*entry, {}, now)) {
            asks.push_back(make_ask(*holder, workspace, tokens, now));
        }
    }
    return asks;
}

// Holders are asked one at a time: a surplus token mostly expires unused, as
// one VM of many receives few requests of a workspace. The first holder asked
// rotates, so that all slices are used evenly.
std::optional<std::string>
rate_slices::next_holder(const workspace_entry& entry,
                         const std::vector<std::string>& asked, time_point now)
{
    const auto& holders = holders_of(entry).addresses;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const std::string& holder = holders[(m_last_ask + i) % holders.size()];
        const bool was_asked =
            std::find(asked.begin(), asked.end(), holder) != asked.end();
        if (!was_asked && may_ask(holder, now)) {
            return holder;
        }
    }
    return std::nullopt;
}

// A VM that has failed counts as live for some time in a large fleet.
void rate_slices::record_silence(const std::string& holder, time_point now)
{
    silent_holder& silent = m_silent[holder];
    if (++silent.missed >= missed_until_silent) {
        silent.asked_again_at = now + silence_backoff;
    }
}

bool rate_slices::may_ask(const std::string& holder, time_point now) const
{
    const auto silent = m_silent.find(holder);
    return m_members.is_live(holder, now) &&
           (silent == m_silent.end() || now >= silent->second.asked_again_at);
}

token_grant rate_slices::lend(const token_ask& ask, time_point now)
{
    token_grant grant{ask.ask, ask.workspace, 0, loan_term};
    const workspace_entry* entry = find_limit(ask.workspace);
    if (entry == nullptr) {
        return grant;
    }
    slice& s = slice_of(ask.workspace, now);
    refill(*entry, s, now);
    const std::uint64_t reserve =
        s.demand.expected_within(reserve_time, now) * tokens_per_request;
    const std::uint64_t spare =
        s.own.tokens() > reserve ? s.own.tokens() - reserve : 0;
    grant.tokens = std::min({ask.tokens, max_loan, spare / tokens_per_request});
    s.own.take(grant.tokens * tokens_per_request);
    return grant;
}

void rate_slices::receive_grant(const token_grant& grant, time_point now)
{
    const auto found = m_asks.find(grant.ask);
    if (found == m_asks.end() || found->second.workspace != grant.workspace) {
        return;
    }
    const time_point asked_at = found->second.at;
    m_silent.erase(found->second.to);
    m_asks.erase(found);
    slice& s = slice_of(grant.workspace, now);
    s.unanswered -= s.unanswered > 0 ? 1 : 0;
    if (grant.tokens == 0) {
        return;
    }
    s.asked.clear();
    s.no_asks_until = time_point();
    s.loans.push_back(
        {std::min(grant.tokens, max_loan) * tokens_per_request,
         asked_at + std::min(grant.term, loan_term) - term_margin});
}

bool rate_slices::is_holder(workspace_id workspace, time_point now)
{
    const workspace_entry* entry = find_limit(workspace);
    return entry != nullptr && m_members.knows_all(now) &&
           holders_of(*entry).self;
}

const workspace_entry* rate_slices::find_limit(workspace_id workspace) const
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

const rate_slices::holder_set&
rate_slices::holders_of(const workspace_entry& entry)
{
    if (m_members.version() != m_members_version) {
        m_members_version = m_members.version();
        m_holders.clear();
    }
    const auto known = m_holders.find(entry.id);
    if (known != m_holders.end()) {
        return known->second;
    }
    const auto wanted = std::max(
        min_holders, static_cast<std::size_t>(entry.rate / rate_per_holder));
    holder_set set;
    for (const std::string& address :
         m_members.ranked(entry.id.value(), wanted)) {
        if (address == m_members.self()) {
            set.self = true;
        } else {
            set.addresses.push_back(address);
        }
    }
    return m_holders.emplace(entry.id, std::move(set)).first->second;
}

// A slice holds up to one token more than its part of the burst: slices fill
// unevenly, and tokens that a full slice cannot hold would be lost to the
// workspace. The burst may therefore be exceeded by one token per holder.
void rate_slices::refill(const workspace_entry& entry, slice& s, time_point now)
{
    const holder_set& set = holders_of(entry);
    if (!set.self || !m_members.knows_all(now)) {
        s.own.refill(0, 0, now);
        return;
    }
    const auto holders = static_cast<double>(set.addresses.size() + 1);
    const double part = m_members.usable_share(now) * milli / holders;
    const auto rate = static_cast<std::uint64_t>(entry.rate * part);
    const auto burst = static_cast<std::uint64_t>(entry.burst * part);
    s.own.refill(rate, burst + tokens_per_request, now);
}

void rate_slices::drop_expired(slice& s, time_point now)
{
    s.loans.erase(std::remove_if(s.loans.begin(), s.loans.end(),
                                 [&](const loan& l) {
                                     return l.until <= now || l.tokens == 0;
                                 }),
                  s.loans.end());
}

std::uint64_t rate_slices::available_tokens(const slice& s)
{
    std::uint64_t tokens = s.own.tokens();
    for (const loan& l : s.loans) {
        tokens += l.tokens;
    }
    return tokens;
}

addressed_ask rate_slices::make_ask(const std::string& to,
                                    workspace_id workspace,
                                    std::uint64_t tokens, time_point now)
{
    m_asks[++m_last_ask] = {workspace, now, to};
    return {to, {m_last_ask, workspace, tokens}};
}

void rate_slices::drop_old_asks(time_point now)
{
    m_asks.erase(m_asks.begin(),
                 std::find_if(m_asks.begin(), m_asks.end(), [&](const auto& a) {
                     return now - a.second.at < loan_term;
                 }));
}

} // namespace cranberrywood
