#include "systems/store/store_readers.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Fleet up to which every VM reads the store. */
constexpr std::uint32_t all_read_up_to = 12;
/** Readers of a larger fleet. */
constexpr std::size_t readers = 4;
/** VMs in whose order the readers are sought. */
constexpr std::size_t candidates = 24;
/** Time for which a reader that failed is not followed. */
constexpr duration avoid_time = 5s;
/** Key of the order of readers. */
constexpr std::uint64_t order_key = 0x73746f7265;

} // namespace

store_readers::store_readers(const member_directory& members)
    : m_members(members)
{
}

// The one that is followed is kept while it is a reader, so that changes of
// the fleet do not move everybody.
std::optional<std::string> store_readers::source(time_point now)
{
    if (!m_members.settled(now) ||
        m_members.fleet_size(now) <= all_read_up_to) {
        return std::nullopt;
    }
    std::vector<std::string> usable;
    std::size_t live = 0;
    for (const std::string& address : m_members.ranked(order_key, candidates)) {
        const bool self = address == m_members.self();
        if (live == readers || (!self && !m_members.is_live(address, now))) {
            continue;
        }
        ++live;
        if (self) {
            return std::nullopt;
        }
        const auto avoided = m_avoided_until.find(address);
        if (avoided == m_avoided_until.end() || now >= avoided->second) {
            usable.push_back(address);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    if (std::find(usable.begin(), usable.end(), m_followed) == usable.end()) {
        m_followed =
            usable[stable_hash(m_members.self(), order_key) % usable.size()];
    }
    return m_followed;
}

void store_readers::failed(const std::string& reader, time_point now)
{
    m_avoided_until[reader] = now + avoid_time;
}

} // namespace cranberrywood
