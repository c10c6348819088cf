#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_FAIR_QUEUE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_FAIR_QUEUE_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cranberrywood {

/** Scheduling parameters and deadline of an entry of a fair queue. */
struct enqueue_options
{
    workspace_id workspace;
    /** Weight of the workspace relative to others. */
    std::uint32_t weight = 1;
    /** Cost of the entry, in sub-requests. */
    std::uint32_t cost = 1;
    /** Time at which the work must be complete. */
    time_point deadline;
};

/**
 * Bounded queue that serves workspaces in proportion to their weights by
 * start-time fair queueing, and each workspace in order of arrival. Entries
 * that cannot meet their deadline are dropped; take_expired returns them.
 */
template <class Item>
class fair_queue
{
public:
    /**
     * Entries whose start tags lie within quantum sub-requests are served in
     * order of arrival; 1 is strict start-time fair queueing.
     */
    explicit fair_queue(std::size_t limit, std::uint32_t quantum = 1)
        : m_limit(limit), m_quantum(virtual_time_per_cost * quantum)
    {
    }

    /** Changes the bound; entries already beyond it are not evicted. */
    void set_limit(std::size_t limit)
    {
        m_limit = limit;
    }

    /**
     * Adds an entry. When the queue is full, evicts and returns the newest
     * entry of the workspace with the most entries relative to its weight.
     */
    std::optional<Item> push(const enqueue_options& terms, Item item);

    /**
     * Returns the next entry that can complete by its deadline, given the
     * expected processing time. Entries that cannot are dropped.
     */
    std::optional<Item> pop(time_point now, duration work);

    /** Drops all entries that cannot complete by their deadlines. */
    void drop_expired(time_point now, duration work);

    /** Returns the entries that were dropped since the last call. */
    std::vector<Item> take_expired()
    {
        return std::exchange(m_expired, {});
    }

    /** Removes and returns the entries that match a predicate. */
    template <class Predicate>
    std::vector<Item> take_if(Predicate predicate);

    /** Removes and returns all entries. */
    std::vector<Item> take_all()
    {
        return take_if([](const Item&) { return true; });
    }

    /** Returns the number of entries. */
    std::size_t size() const
    {
        return m_size;
    }
    bool empty() const
    {
        return m_size == 0;
    }
    /** Returns the number of entries of one workspace. */
    std::size_t size_of(workspace_id workspace) const
    {
        const auto found = m_flows.find(workspace);
        return found == m_flows.end() ? 0 : found->second.entries.size();
    }

private:
    // Virtual time of one sub-request at weight 1. Integer arithmetic gives the
    // same order on every platform.
    static constexpr std::uint64_t virtual_time_per_cost = 1U << 20U;

    struct entry
    {
        std::uint64_t start = 0;
        std::uint64_t arrival = 0;
        time_point deadline;
        Item item;
    };
    struct flow
    {
        std::uint32_t weight = 1;
        std::uint64_t finish = 0;
        std::deque<entry> entries;
    };
    using flows = std::map<workspace_id, flow>;

    bool precedes(const entry& a, const entry& b) const;
    typename flows::iterator next_flow();
    typename flows::iterator largest_flow();
    void drop_expired_heads(flow& f, time_point now, duration work);
    Item evict_newest(flow& f);
    void erase_idle_flows();

    std::size_t m_limit;
    std::uint64_t m_quantum;
    std::size_t m_size = 0;
    std::uint64_t m_virtual_time = 0;
    std::uint64_t m_arrivals = 0;
    flows m_flows;
    std::vector<Item> m_expired;
};

template <class Item>
std::optional<Item> fair_queue<Item>::push(const enqueue_options& terms,
                                           Item item)
{
    flow& f = m_flows[terms.workspace];
    f.weight = std::max(1U, terms.weight);
    const std::uint64_t start = std::max(m_virtual_time, f.finish);
    f.finish = start + virtual_time_per_cost * terms.cost / f.weight;
    f.entries.push_back({start, ++m_arrivals, terms.deadline, std::move(item)});
    ++m_size;
    if (m_size <= m_limit) {
        return std::nullopt;
    }
    return evict_newest(largest_flow()->second);
}

template <class Item>
std::optional<Item> fair_queue<Item>::pop(time_point now, duration work)
{
    for (auto& [workspace, f] : m_flows) {
        drop_expired_heads(f, now, work);
    }
    const auto next = next_flow();
    if (next == m_flows.end()) {
        erase_idle_flows();
        return std::nullopt;
    }
    entry served = std::move(next->second.entries.front());
    next->second.entries.pop_front();
    --m_size;
    m_virtual_time = std::max(m_virtual_time, served.start);
    erase_idle_flows();
    return std::move(served.item);
}

template <class Item>
void fair_queue<Item>::drop_expired(time_point now, duration work)
{
    for (auto& [workspace, f] : m_flows) {
        std::deque<entry> kept;
        for (auto& e : f.entries) {
            if (e.deadline - now < work) {
                m_expired.push_back(std::move(e.item));
                --m_size;
            } else {
                kept.push_back(std::move(e));
            }
        }
        f.entries = std::move(kept);
    }
    erase_idle_flows();
}

template <class Item>
template <class Predicate>
std::vector<Item> fair_queue<Item>::take_if(Predicate predicate)
{
    std::vector<Item> taken;
    for (auto& [workspace, f] : m_flows) {
        std::deque<entry> kept;
        for (auto& e : f.entries) {
            if (predicate(e.item)) {
                taken.push_back(std::move(e.item));
                --m_size;
            } else {
                kept.push_back(std::move(e));
            }
        }
        f.entries = std::move(kept);
    }
    erase_idle_flows();
    return taken;
}

template <class Item>
bool fair_queue<Item>::precedes(const entry& a, const entry& b) const
{
    if (m_quantum == virtual_time_per_cost) {
        return a.start != b.start ? a.start < b.start : a.arrival < b.arrival;
    }
    const std::uint64_t a_quantum = a.start / m_quantum;
    const std::uint64_t b_quantum = b.start / m_quantum;
    return a_quantum != b_quantum ? a_quantum < b_quantum
                                  : a.arrival < b.arrival;
}

template <class Item>
typename fair_queue<Item>::flows::iterator fair_queue<Item>::next_flow()
{
    auto best = m_flows.end();
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
        if (it->second.entries.empty()) {
            continue;
        }
        if (best == m_flows.end() || precedes(it->second.entries.front(),
                                              best->second.entries.front())) {
            best = it;
        }
    }
    return best;
}

template <class Item>
typename fair_queue<Item>::flows::iterator fair_queue<Item>::largest_flow()
{
    return std::max_element(
        m_flows.begin(), m_flows.end(), [](const auto& a, const auto& b) {
            return a.second.entries.size() * b.second.weight <
                   b.second.entries.size() * a.second.weight;
        });
}

template <class Item>
void fair_queue<Item>::drop_expired_heads(flow& f, time_point now,
                                          duration work)
{
    while (!f.entries.empty() && f.entries.front().deadline - now < work) {
        m_expired.push_back(std::move(f.entries.front().item));
        f.entries.pop_front();
        --m_size;
    }
}

// The cost of an evicted entry is not charged to its workspace.
template <class Item>
Item fair_queue<Item>::evict_newest(flow& f)
{
    entry newest = std::move(f.entries.back());
    f.entries.pop_back();
    --m_size;
    f.finish = newest.start;
    return std::move(newest.item);
}

// An empty flow whose finish tag is not ahead of the virtual time would start
// its next entry at the virtual time, as a new flow does, so it can be erased.
template <class Item>
void fair_queue<Item>::erase_idle_flows()
{
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const bool idle = it->second.entries.empty() &&
                          (m_size == 0 || it->second.finish <= m_virtual_time);
        it = idle ? m_flows.erase(it) : std::next(it);
    }
}

} // namespace cranberrywood

#endif
