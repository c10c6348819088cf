#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP

#include "core/random_source.hpp"
#include "systems/store/store_messages.hpp"

#include <vector>

namespace cranberrywood {

/** Changes that a follower obtained from one page or one complete list. */
struct followed_page
{
    std::vector<store_change> changes;
    /** The changes are a complete list of the items. */
    bool whole = false;
    /** Revision up to which the changes are complete; 0 if unknown. */
    store_revision at;
};

/**
 * Selects the next store call for one area: lists the area once, then watches
 * for changes, and lists again when the store has discarded the revision to
 * watch from.
 */
class store_follower
{
public:
    /**
     * Takes the pause after a watch that returned changes; changes made during
     * the pause arrive in one page.
     */
    store_follower(duration pause, random_source& random);

    /** Returns the call to make now, or the time until which to pause. */
    store_call next_call(time_point now);

    /**
     * Handles a page. Returns its changes; those of a list are returned once
     * its last page has arrived.
     */
    followed_page handle_page(store_page page, time_point now);

    /** Makes the next call a list; needed after calls were suspended. */
    void restart();

    /** Records a failed call and schedules the retry. */
    void failed(store_fault fault, time_point now);

    /**
     * Returns whether the last call succeeded; history_lost does not count as
     * a failure.
     */
    bool in_contact() const
    {
        return m_in_contact;
    }
    store_revision revision() const
    {
        return m_revision;
    }

private:
    duration m_pause;
    random_source& m_random;
    bool m_listed = false;
    bool m_in_contact = false;
    std::uint32_t m_failures = 0;
    store_revision m_revision;
    /** Revision of the first page of the list in progress. */
    store_revision m_list_revision;
    std::string m_after_key;
    std::vector<store_change> m_listed_items;
    time_point m_next_call_time;
};

} // namespace cranberrywood

#endif
