#ifndef CRANBERRYWOOD_TABLES_DUE_QUEUE_HPP
#define CRANBERRYWOOD_TABLES_DUE_QUEUE_HPP

#include "units/time.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cranberrywood {

/**
 * Keys of table rows in the order of the times at which they are due. Each
 * key is in the queue at most once.
 */
template <class Key>
class due_queue
{
public:
    /** Sets the time at which a key is due, in place of an earlier one. */
    void schedule(const Key& key, time_point at)
    {
        remove(key);
        m_times.emplace(key, at);
        m_order.emplace(at, key);
    }

    /** Forgets a key; does nothing when it is not in the queue. */
    void remove(const Key& key)
    {
        const auto found = m_times.find(key);
        if (found == m_times.end()) {
            return;
        }
        m_order.erase({found->second, key});
        m_times.erase(found);
    }

    bool contains(const Key& key) const
    {
        return m_times.count(key) != 0;
    }

    /** Takes out the next key that is due at a time, if there is one. */
    std::optional<Key> pop_due(time_point now)
    {
        if (m_order.empty() || m_order.begin()->first > now) {
            return std::nullopt;
        }
        const Key key = m_order.begin()->second;
        remove(key);
        return key;
    }

    /** Returns the time at which the next key is due, if there is one. */
    std::optional<time_point> next_due() const
    {
        if (m_order.empty()) {
            return std::nullopt;
        }
        return m_order.begin()->first;
    }

    /** Returns whether no key is in the queue. */
    bool empty() const
    {
        return m_order.empty();
    }

private:
    std::set<std::pair<time_point, Key>> m_order;
    std::unordered_map<Key, time_point> m_times;
};

} // namespace cranberrywood

#endif
