#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP

#include "core/random_source.hpp"
#include "systems/store/store_messages.hpp"

#include <vector>

namespace cranberrywood {

/** What a follower has learnt from one page. */
struct followed_page
{
    std::vector<store_change> changes;
    /** The changes are all items there are. */
    bool whole = false;
    /** Revision up to which the page is complete; 0 when not known. */
    store_revision at;
};

/**
 * Decides which call follows one area of the store: lists it once, then
 * watches for changes, and lists again when the history is lost.
 */
class store_follower
{
public:
    /**
     * Pause between two watches; changes that come meanwhile arrive
     * together.
     */
    store_follower(duration pause, random_source& random);

    /** Returns the call to make now, or how long to make none. */
    store_call next_call(time_point now);

    /** Takes a page; returns what is new once a list is complete. */
    followed_page handle_page(store_page page, time_point now);

    /** Lists anew at the next call, after a time without calls. */
    void restart();

    /** Takes note that a call failed. */
    void failed(store_fault fault, time_point now);

    /** Returns whether the last call succeeded. */
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
    /** Revision at the first page of the list that is being read. */
    store_revision m_list_from;
    std::string m_after_key;
    std::vector<store_change> m_list;
    time_point m_not_before;
};

} // namespace cranberrywood

#endif
