#include "systems/rates/token_bucket.hpp"

#include <algorithm>
#include <cassert>

namespace cranberrywood {

namespace {

using microseconds = std::chrono::microseconds;

constexpr std::uint64_t microseconds_per_second = 1000000;

// Keeps rate x time within 64 bits up to a million requests per second.
constexpr duration max_refill_time = std::chrono::hours(1);

} // namespace

void token_bucket::refill(std::uint64_t rate_milli, std::uint64_t capacity,
                          time_point now)
{
    m_tokens = std::min(m_tokens, capacity);
    if (now <= m_filled_at) {
        return;
    }
    const duration passed = std::min(now - m_filled_at, max_refill_time);
    const auto micros = static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(passed).count());
    const std::uint64_t earned = rate_milli * micros / microseconds_per_second;
    if (m_tokens + earned >= capacity || passed == max_refill_time) {
        m_tokens = std::min(m_tokens + earned, capacity);
        m_filled_at = now;
        return;
    }
    if (earned == 0) {
        return;
    }
    // Rounded up, so that no time is credited twice.
    const std::uint64_t used =
        (earned * microseconds_per_second + rate_milli - 1) / rate_milli;
    m_tokens += earned;
    m_filled_at += microseconds(used);
}

void token_bucket::put_back(std::uint64_t tokens, std::uint64_t capacity)
{
    m_tokens = std::min(m_tokens + tokens, capacity);
}

void token_bucket::take(std::uint64_t tokens)
{
    assert(tokens <= m_tokens);
    m_tokens -= tokens;
}

} // namespace cranberrywood
