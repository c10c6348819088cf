#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_MIRROR_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_MIRROR_HPP

#include "systems/store/store_follower.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cranberrywood {

/** One item of the store as a reader passes it on. */
struct mirrored_item
{
    std::string key;
    store_revision revision;
    bool removed = false;
    /** Value as the store has it; empty when removed. */
    std::string bytes;
};

/** What a reader tells a VM that follows it. */
struct mirror_update
{
    /** Place in the reader's own count of updates, to go on from. */
    std::uint64_t place = 0;
    /** Tells one process of the reader from the next. */
    incarnation process;
    /** The items are all there are. */
    bool whole = false;
    /** Revision of the store up to which the copy is complete. */
    store_revision at;
    /** The reader is in contact with the store. */
    bool store_reachable = false;
    /** It has been for so long that no entry lapsed without returning. */
    bool store_steady = false;
    std::vector<mirrored_item> items;
};

/**
 * Copy of the store's items at a VM that reads the store, for VMs that
 * follow it. Reports of backend servers that change nothing are left out.
 */
class store_mirror
{
public:
    explicit store_mirror(incarnation process);

    /** Takes in a page; returns whether there is something to pass on. */
    bool apply(store_area area, const followed_page& page);

    /** Returns what is new behind a place of this process's count. */
    mirror_update after(incarnation process, std::uint64_t place) const;

    std::uint64_t place() const
    {
        return m_place;
    }
    /** Returns whether both areas have been read. */
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
    };

    bool take(const store_change& change);
    bool drop_missing(store_area area, const followed_page& page);
    bool is_news(const kept_item& known, const store_change& change) const;

    incarnation m_process;
    std::map<std::string, kept_item> m_items;
    std::uint64_t m_place = 0;
    bool m_read_settings = false;
    bool m_read_servers = false;
};

} // namespace cranberrywood

#endif
