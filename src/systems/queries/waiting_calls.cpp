#include "systems/queries/waiting_calls.hpp"

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Capacity of the queue of one service and priority, in calls. */
constexpr std::size_t queue_limit = 1024;
/** Calls with less time left than this cannot be answered and are dropped. */
constexpr duration min_processing_time = 2ms;

} // namespace

std::optional<call_ref> waiting_calls::push(service_id service,
                                            const open_request& request,
                                            std::uint32_t call)
{
    auto& queue = m_queues[service]
                      .by_priority.try_emplace(request.priority, queue_limit)
                      .first->second;
    return queue.push({request.workspace, 1, 1, request.deadline},
                      call_ref{request.token, call});
}

std::optional<call_ref> waiting_calls::pop(service_id service, time_point now)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end()) {
        return std::nullopt;
    }
    for (auto& [priority, queue] : found->second.by_priority) {
        const auto next = queue.pop(now, min_processing_time);
        // Dropped calls need no answer of their own: their requests end at the
        // deadline.
        queue.take_expired();
        if (next) {
            return next;
        }
    }
    return std::nullopt;
}

void waiting_calls::record_completion(service_id service, time_point now)
{
    m_queues[service].completions.add(1, now);
}

duration waiting_calls::expected_wait(service_id service,
                                      std::uint32_t priority, time_point now)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end()) {
        return duration(0);
    }
    std::size_t ahead = 0;
    for (const auto& [queue_priority, queue] : found->second.by_priority) {
        ahead += queue_priority <= priority ? queue.size() : 0;
    }
    if (ahead == 0) {
        return duration(0);
    }
    const std::uint64_t per_second = std::max<std::uint64_t>(
        1, found->second.completions.expected_within(1s, now));
    return duration(1s) * ahead / per_second;
}

std::vector<service_id> waiting_calls::services() const
{
    std::vector<service_id> services;
    for (const auto& [service, l] : m_queues) {
        for (const auto& [queue_priority, queue] : l.by_priority) {
            if (!queue.empty()) {
                services.push_back(service);
                break;
            }
        }
    }
    return services;
}

bool waiting_calls::has_waiting(service_id service) const
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end()) {
        return false;
    }
    const auto& queues = found->second.by_priority;
    return std::any_of(queues.begin(), queues.end(),
                       [](const auto& queue) { return !queue.second.empty(); });
}

bool waiting_calls::empty() const
{
    return services().empty();
}

} // namespace cranberrywood
