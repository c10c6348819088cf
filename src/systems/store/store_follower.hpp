#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP

#include "core/random_source.hpp"
#include "systems/store/store_messages.hpp"

#include <optional>
#include <vector>

namespace cranberrywood {

/** Changes that a follower obtained from one page or one complete list. */
struct followed_page
{
    std::vector<store_change> changes;
    /** The changes are a complete list of the items. */
    bool whole = false;
    /** Position up to which the changes are complete; 0 if unknown. */
    store_position at;
};

/**
 * Selects the next store call for one area: lists the area once, then watches
 * for changes, and lists again when the store has discarded the revision to
 * watch from or has been restored from an older copy.
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
     * its last page has arrived. A page of an earlier era counts as a failed
     * call and gives nothing.
     */
    std::optional<followed_page> handle_page(store_page page, time_point now);

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
    /** Returns the position up to which the area is known. */
    store_position position() const
    {
        return m_position;
    }

private:
    followed_page handle_list_page(store_page page, time_point now);

    duration m_pause;
    /** Latest era that a page has named. */
    store_era m_era;
    random_source& m_random;
    bool m_listed = false;
    bool m_in_contact = false;
    std::uint32_t m_failures = 0;
    store_position m_position;
    /** Position of the first page of the list in progress. */
    store_position m_list_position;
    std::string m_after_key;
    std::vector<store_change> m_listed_items;
    time_point m_next_call_time;
};

} // namespace cranberrywood

#endif
