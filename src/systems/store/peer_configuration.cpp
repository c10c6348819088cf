#include "systems/store/peer_configuration.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time that a VM has to read a change itself. */
constexpr duration own_reading_time = 300ms;
/** Time between two attempts. */
constexpr duration attempt_interval = 400ms;

} // namespace

void peer_configuration::heard(const std::string& peer, std::uint64_t version,
                               std::uint64_t own, time_point now)
{
    if (version <= own || version < m_version) {
        return;
    }
    if (!is_behind(own)) {
        m_behind_since = now;
    }
    m_version = version;
    m_peer = peer;
}

std::optional<std::string> peer_configuration::next_source(std::uint64_t own,
                                                           time_point now)
{
    if (!is_behind(own) ||
        now < std::max(m_behind_since + own_reading_time, m_next_attempt)) {
        return std::nullopt;
    }
    m_next_attempt = now + attempt_interval;
    return m_peer;
}

} // namespace cranberrywood
