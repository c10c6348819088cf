#include "systems/rates/rate_slices.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

namespace {

constexpr double milli = 1000.0;

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
    const auto found = m_limits->workspaces().find(workspace);
    if (found == m_limits->workspaces().end() || found->second.rate <= 0.0) {
        return std::nullopt;
    }
    const double share = found->second.rate * milli / m_vms;
    const auto rate = static_cast<std::uint64_t>(share);
    const auto room = std::max<std::uint64_t>(
        tokens_per_request,
        static_cast<std::uint64_t>(found->second.burst * milli / m_vms));
    token_bucket& bucket =
        m_slices.try_emplace(workspace, now).first->second.tokens;
    bucket.refill(rate, room, now);
    if (bucket.tokens() >= tokens_per_request) {
        bucket.take(tokens_per_request);
        return std::nullopt;
    }
    const double missing =
        static_cast<double>(tokens_per_request - bucket.tokens());
    const std::chrono::duration<double> wait(missing / std::max(1.0, share));
    return std::chrono::duration_cast<duration>(wait);
}

} // namespace cranberrywood
