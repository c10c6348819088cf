#include "systems/queries/crash_evidence.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/**
 * Time after a loss in which the server is listed as started again, if it
 * crashed. Later signs may belong to another crash.
 */
constexpr duration undecided_time = 10s;
/** Lost sends that are kept for one server. */
constexpr std::size_t max_lost = 64;

} // namespace

void crash_evidence::add(const request_crash& lost)
{
    auto& sends = m_lost[lost.server];
    if (sends.size() >= max_lost) {
        sends.erase(sends.begin());
    }
    sends.push_back(lost);
}

std::vector<request_crash>
crash_evidence::take_crashes(backend_server_id server, time_point now)
{
    const auto found = m_lost.find(server);
    if (found == m_lost.end()) {
        return {};
    }
    std::vector<request_crash> crashes;
    for (const request_crash& lost : found->second) {
        if (now - lost.lost_at <= undecided_time) {
            crashes.push_back(lost);
        }
    }
    m_lost.erase(found);
    return crashes;
}

// An answer to an earlier send may have left the server before it crashed.
void crash_evidence::drop_before(backend_server_id server, time_point sent_at)
{
    const auto found = m_lost.find(server);
    if (found == m_lost.end()) {
        return;
    }
    auto& sends = found->second;
    sends.erase(std::remove_if(sends.begin(), sends.end(),
                               [&](const request_crash& lost) {
                                   return lost.lost_at <= sent_at;
                               }),
                sends.end());
    if (sends.empty()) {
        m_lost.erase(found);
    }
}

void crash_evidence::drop_expired(time_point now)
{
    for (auto it = m_lost.begin(); it != m_lost.end();) {
        const bool expired = now - it->second.back().lost_at > undecided_time;
        it = expired ? m_lost.erase(it) : std::next(it);
    }
}

} // namespace cranberrywood
