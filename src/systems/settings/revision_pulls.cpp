#include "systems/settings/revision_pulls.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::size_t max_offers = 8;
constexpr duration pull_timeout = std::chrono::milliseconds(1000);

} // namespace

void revision_pulls::add_offer(vm_id peer, revision_number revision)
{
    m_newest = std::max(m_newest, revision);
    if (revision <= m_accepted) {
        return;
    }
    const auto known =
        std::find_if(m_offers.begin(), m_offers.end(),
                     [peer](const offer& o) { return o.peer == peer; });
    if (known != m_offers.end()) {
        known->revision = std::max(known->revision, revision);
    } else if (m_offers.size() < max_offers) {
        m_offers.push_back({peer, revision});
    }
}

void revision_pulls::record_accepted(revision_number revision)
{
    m_accepted = std::max(m_accepted, revision);
    m_newest = std::max(m_newest, revision);
    remove_offers([this](const offer& o) { return o.revision <= m_accepted; });
}

void revision_pulls::record_refused(revision_number revision)
{
    remove_offers(
        [revision](const offer& o) { return o.revision == revision; });
}

template <class Condition>
void revision_pulls::remove_offers(Condition condition)
{
    m_offers.erase(std::remove_if(m_offers.begin(), m_offers.end(), condition),
                   m_offers.end());
    m_pull_deadline.reset();
}

// The peer moves to the back of the queue, so that the pull after a timeout
// goes to another one.
std::optional<vm_id> revision_pulls::take_due(time_point now)
{
    const bool waiting = m_pull_deadline && now < *m_pull_deadline;
    if (m_offers.empty() || waiting) {
        return std::nullopt;
    }
    std::rotate(m_offers.begin(), m_offers.begin() + 1, m_offers.end());
    m_pull_deadline = now + pull_timeout;
    return m_offers.back().peer;
}

} // namespace cranberrywood
