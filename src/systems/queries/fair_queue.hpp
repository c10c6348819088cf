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

/** How an entry of a fair queue is ordered and when it is dropped. */
struct enqueue_options
{
    workspace_id workspace;
    /** Share of the workspace relative to others. */
    std::uint32_t weight = 1;
    /** Work that the entry stands for, in sub-requests. */
    std::uint32_t cost = 1;
    /** Time at which the work must be complete. */
    time_point deadline;
};

/**
 * Bounded queue that serves workspaces in proportion to their weights by
 * start-time fair queueing, and each workspace in order of arrival. Entries
 * that cannot make their deadline are dropped and handed back.
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
        : m_limit(limit), m_quantum(tick_per_cost * quantum)
    {
    }

    /** Changes the bound; entries beyond it stay until they are served. */
    void set_limit(std::size_t limit)
    {
        m_limit = limit;
    }

    /**
     * Puts an entry in. When the queue is full, returns the entry that has
     * to go: the newest of the workspace that fills the queue most.
     */
    std::optional<Item> push(const enqueue_options& terms, Item item);

    /**
     * Returns the next entry that can be complete by its deadline when the
     * work takes the given time. Entries that cannot are dropped.
     */
    std::optional<Item> pop(time_point now, duration work);

    /** Drops all entries that cannot be complete by their deadlines. */
    void drop_expired(time_point now, duration work);

    /** Takes the entries that were dropped since the last call. */
    std::vector<Item> take_expired()
    {
        return std::exchange(m_late, {});
    }

    /** Takes out the entries for which the predicate holds. */
    template <class Predicate>
    std::vector<Item> take_if(Predicate predicate);

    /** Takes out all entries. */
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
    // Virtual time of one sub-request at weight 1. Integers keep the order
    // the same on every machine.
    static constexpr std::uint64_t tick_per_cost = 1U << 20U;

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

    bool goes_before(const entry& a, const entry& b) const;
    typename flows::iterator next_flow();
    typename flows::iterator fullest_flow();
    void drop_late_heads(flow& f, time_point now, duration work);
    Item take_newest(flow& f);
    void forget_idle_flows();

    std::size_t m_limit;
    std::uint64_t m_quantum;
    std::size_t m_size = 0;
    std::uint64_t m_virtual_time = 0;
    std::uint64_t m_arrivals = 0;
    flows m_flows;
    std::vector<Item> m_late;
};

template <class Item>
std::optional<Item> fair_queue<Item>::push(const enqueue_options& terms,
                                           Item item)
{
    flow& f = m_flows[terms.workspace];
    f.weight = std::max(1U, terms.weight);
    const std::uint64_t start = std::max(m_virtual_time, f.finish);
    f.finish = start + tick_per_cost * terms.cost / f.weight;
    f.entries.push_back({start, ++m_arrivals, terms.deadline, std::move(item)});
    ++m_size;
    if (m_size <= m_limit) {
        return std::nullopt;
    }
    return take_newest(fullest_flow()->second);
}

template <class Item>
std::optional<Item> fair_queue<Item>::pop(time_point now, duration work)
{
    for (auto& [workspace, f] : m_flows) {
        drop_late_heads(f, now, work);
    }
    const auto next = next_flow();
    if (next == m_flows.end()) {
        forget_idle_flows();
        return std::nullopt;
    }
    entry served = std::move(next->second.entries.front());
    next->second.entries.pop_front();
    --m_size;
    m_virtual_time = std::max(m_virtual_time, served.start);
    forget_idle_flows();
    return std::move(served.item);
}

template <class Item>
void fair_queue<Item>::drop_expired(time_point now, duration work)
{
    for (auto& [workspace, f] : m_flows) {
        std::deque<entry> kept;
        for (auto& e : f.entries) {
            if (e.deadline - now < work) {
                m_late.push_back(std::move(e.item));
                --m_size;
            } else {
                kept.push_back(std::move(e));
            }
        }
        f.entries = std::move(kept);
    }
    forget_idle_flows();
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
    forget_idle_flows();
    return taken;
}

template <class Item>
bool fair_queue<Item>::goes_before(const entry& a, const entry& b) const
{
    if (m_quantum == tick_per_cost) {
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
        if (best == m_flows.end() ||
            goes_before(it->second.entries.front(),
                        best->second.entries.front())) {
            best = it;
        }
    }
    return best;
}

template <class Item>
typename fair_queue<Item>::flows::iterator fair_queue<Item>::fullest_flow()
{
    return std::max_element(
        m_flows.begin(), m_flows.end(), [](const auto& a, const auto& b) {
            return a.second.entries.size() * b.second.weight <
                   b.second.entries.size() * a.second.weight;
        });
}

template <class Item>
void fair_queue<Item>::drop_late_heads(flow& f, time_point now, duration work)
{
    while (!f.entries.empty() && f.entries.front().deadline - now < work) {
        m_late.push_back(std::move(f.entries.front().item));
        f.entries.pop_front();
        --m_size;
    }
}

// The work that a dropped entry stands for is not charged to its workspace.
template <class Item>
Item fair_queue<Item>::take_newest(flow& f)
{
    entry newest = std::move(f.entries.back());
    f.entries.pop_back();
    --m_size;
    f.finish = newest.start;
    return std::move(newest.item);
}

// A flow whose finish tag has been passed starts afresh with its next entry,
// so that its record carries no information.
template <class Item>
void fair_queue<Item>::forget_idle_flows()
{
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const bool idle = it->second.entries.empty() &&
                          (m_size == 0 || it->second.finish <= m_virtual_time);
        it = idle ? m_flows.erase(it) : std::next(it);
    }
}

} // namespace cranberrywood

#endif
