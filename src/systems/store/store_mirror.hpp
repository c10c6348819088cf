#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_MIRROR_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_MIRROR_HPP

#include "systems/store/store_follower.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cranberrywood {

/** One item of the store as a reader forwards it to its followers. */
struct mirrored_item
{
    std::string key;
    store_position position;
    bool removed = false;
    /** Value as stored; empty if removed. */
    std::string bytes;
};

/** Update that a reader sends to a VM that follows it. */
struct mirror_update
{
    /** The reader's sequence number, from which the next update continues. */
    std::uint64_t place = 0;
    /** The reader's process; its sequence numbers restart with the process. */
    incarnation process;
    /** The items are a complete list. */
    bool whole = false;
    /** Position in the store up to which the copy is complete. */
    store_position at;
    /** The reader can reach the store and has read all of it. */
    bool store_reachable = false;
    /**
     * The store has been reachable long enough for the entries that lapsed
     * during an outage to be registered again.
     */
    bool store_steady = false;
    std::vector<mirrored_item> items;
};

/**
 * Copy of the store's items at a VM that reads the store, from which it updates
 * the VMs that follow it. Leaves out backend server reports that make no
 * difference to routing.
 */
class store_mirror
{
public:
    explicit store_mirror(incarnation process);

    /** Applies a page; returns whether there is an update to send. */
    bool apply(store_area area, const followed_page& page);

    /**
     * Returns the changes after a sequence number of this process, or all
     * items if the number is of another process or not yet reached.
     */
    mirror_update after(incarnation process, std::uint64_t place) const;

    /** Returns the sequence number of the last change. */
    std::uint64_t place() const
    {
        return m_place;
    }
    /** Returns whether both areas have been listed. */
    bool complete() const
    {
        return m_read_settings && m_read_servers;
    }

private:
    struct kept_item
    {
        mirrored_item item;
        store_value value;
        std::uint64_t place = 0;
        /** Removed because a list of a later era lacks it. */
        bool lost = false;
    };

    bool apply_change(const store_change& change);
    static void raise_position(kept_item& known, const store_change& change);
    bool remove_unlisted(store_area area, const followed_page& page);
    bool is_significant(const kept_item& known,
                        const store_change& change) const;

    incarnation m_process;
    std::map<std::string, kept_item> m_items;
    std::uint64_t m_place = 0;
    bool m_read_settings = false;
    bool m_read_servers = false;
};

} // namespace cranberrywood

#endif
