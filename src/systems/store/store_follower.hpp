#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_FOLLOWER_HPP

#include "core/random_source.hpp"
#include "systems/store/store_messages.hpp"

#include <string>
#include <unordered_set>
#include <variant>
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

/** Why a page was not used. */
enum class page_fault : std::uint8_t
{
    earlier_era,
    /** A page of a list brought no item that the pages before lack. */
    no_progress,
    /** The list has more items than any deployment needs. */
    too_long,
};

const char* name_of(page_fault why);

/** A page that counts as a failed call. */
struct refused_page
{
    page_fault why = page_fault::no_progress;
    /** Key after which the page was to begin; empty for a first page. */
    std::string after_key;
    /** Items of the list that were read before. */
    std::size_t items = 0;
};

using page_result = std::variant<followed_page, refused_page>;

/** Which calls a follower makes. */
enum class read_extent : std::uint8_t
{
    /** A linearizable list, then watches. */
    continuous,
    /** One list by serializable reads, in at most two attempts. */
    one_list,
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
    store_follower(duration pause, random_source& random,
                   read_extent extent = read_extent::continuous);

    /** Returns the call to make now, or the time until which to pause. */
    store_call next_call(time_point now);

    /**
     * Handles a page. Returns its changes; those of a list are returned once
     * its last page has arrived. A refused page counts as a failed call.
     */
    page_result handle_page(store_page page, time_point now);

    /** Makes the next call a list; needed after calls were suspended. */
    void restart();

    /** Records a failed call and schedules the retry. */
    void failed(store_fault fault, time_point now);

    /**
     * Returns whether the last list or watch succeeded; history_lost does not
     * count as a failure.
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
    page_result handle_list_page(store_page page, time_point now);
    refused_page refuse(page_fault why, time_point now);
    void list_again(time_point now);
    void pause_after_failure(std::uint32_t failures, time_point now);

    bool is_finished() const;

    duration m_pause;
    read_extent m_extent;
    /** Latest era that a page has named. */
    store_era m_era;
    random_source& m_random;
    bool m_listed = false;
    bool m_in_contact = false;
    std::uint32_t m_failures = 0;
    /** Lists that were begun since a watch last returned a page. */
    std::uint32_t m_relists = 0;
    time_point m_watch_began;
    store_position m_position;
    /** Position of the first page of the list in progress. */
    store_position m_list_position;
    std::string m_after_key;
    std::vector<store_change> m_listed_items;
    std::unordered_set<std::string> m_listed_keys;
    time_point m_next_call_time;
};

} // namespace cranberrywood

#endif
