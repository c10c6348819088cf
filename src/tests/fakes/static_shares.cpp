#include "fakes/static_shares.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

void static_shares::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

void static_shares::request(caller_token caller, workspace_id workspace,
                            duration max_wait, time_point now)
{
    share& s = m_shares.try_emplace(workspace, now).first->second;
    s.queue.emplace_back(caller, now + max_wait);
    serve(workspace, s, now);
}

std::vector<rate_decision> static_shares::take_decisions()
{
    return std::exchange(m_decisions, {});
}

void static_shares::tick(time_point now)
{
    for (auto& [workspace, s] : m_shares) {
        serve(workspace, s, now);
    }
}

// A share of the burst below one request would never admit any.
void static_shares::serve(workspace_id workspace, share& s, time_point now)
{
    const workspace_settings* rights = m_settings->find(workspace);
    if (rights == nullptr) {
        return;
    }
    const std::uint64_t burst =
        std::max(rights->burst_milli / m_vms, tokens_per_request);
    s.bucket.refill(rights->rate_milli / m_vms, burst, now);
    while (!s.queue.empty()) {
        const auto [caller, deadline] = s.queue.front();
        const bool late = now >= deadline;
        if (!late && s.bucket.tokens() < tokens_per_request) {
            return;
        }
        if (!late) {
            s.bucket.take(tokens_per_request);
        }
        m_decisions.push_back({caller, !late, vm_id()});
        s.queue.pop_front();
    }
}

} // namespace cranberrywood::fakes
