#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEEN_IDS_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEEN_IDS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <unordered_set>
#include <utility>

namespace cranberrywood {

/** Remembers ids for at least a given time and at most twice that. */
template <class Id>
class seen_ids
{
public:
    explicit seen_ids(duration life) : m_life(life) {}

    /** Remembers an id. Returns whether it is new. */
    bool insert(Id id, time_point now)
    {
        forget_old(now);
        if (m_older.count(id) != 0) {
            return false;
        }
        return m_newer.insert(id).second;
    }

    /** Returns the number of ids that are remembered. */
    std::size_t size() const
    {
        return m_newer.size() + m_older.size();
    }

private:
    void forget_old(time_point now)
    {
        if (now - m_newer_since < m_life) {
            return;
        }
        m_older = std::exchange(m_newer, {});
        m_newer_since = now;
    }

    duration m_life;
    time_point m_newer_since;
    std::unordered_set<Id> m_newer;
    std::unordered_set<Id> m_older;
};

} // namespace cranberrywood

#endif
