#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEEN_IDS_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEEN_IDS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <unordered_set>
#include <utility>

namespace cranberrywood {

/** Set of ids, each kept for at least a given time and at most twice that. */
template <class Id>
class seen_ids
{
public:
    explicit seen_ids(duration life) : m_life(life) {}

    /** Inserts an id; returns whether it is new. */
    bool insert(Id id, time_point now)
    {
        drop_expired(now);
        if (m_older.count(id) != 0) {
            return false;
        }
        return m_newer.insert(id).second;
    }

    /** Returns the number of ids kept. */
    std::size_t size() const
    {
        return m_newer.size() + m_older.size();
    }

private:
    void drop_expired(time_point now)
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
