#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP

#include "core/gateway_messages.hpp"
#include "systems/store/store_follower.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace cranberrywood {

/** Why a change was not applied. */
enum class ignored_reason : std::uint8_t
{
    /** A newer revision of the item is known. */
    older_revision,
    /** The change is of an earlier era of the store. */
    older_era,
    /** A configuration with a greater version is known. */
    older_configuration,
    /** The value cannot be parsed; it comes from another writer. */
    unreadable,
};

const char* name_of(ignored_reason why);

/** A change that was not applied. */
struct ignored_change
{
    std::string key;
    ignored_reason why = ignored_reason::older_revision;
    store_position position;
    /** Known position of the item; 0 if it is unknown. */
    store_position known;
    /** Details of the reason; may be empty. */
    std::string details;
};

/** The store was restored from an older copy. */
struct era_change
{
    /** Newest position known before. */
    store_position before;
    store_position after;
    /** Known items that the copy lacks. */
    std::size_t missing = 0;
};

/** What changes of the store lead to. */
struct view_update
{
    std::optional<era_change> restored;
    std::vector<gateway_event> events;
    std::vector<ignored_change> ignored;
};

/**
 * The store's items as this VM knows them. Converts changes into events for the
 * gateway and ignores changes that are older than what is known: by era and
 * revision, and configurations by their version as well, since the store may
 * come back from an older copy.
 */
class store_view
{
public:
    /** Applies changes; returns the resulting events and what was ignored. */
    view_update apply(store_area area, const followed_page& page);
    /**
     * Applies a list that may be seconds old. It is ignored as a whole when the
     * area is known up to a later position: an item that only this list has was
     * removed since.
     */
    view_update apply_serializable(store_area area, const followed_page& page);

    /** Returns the latest era of the store that is known. */
    store_era era() const
    {
        return std::max(m_settings.newest.era, m_servers.newest.era);
    }

private:
    struct kept_item
    {
        store_position position;
        store_value value;
    };
    /** The known items of one area. */
    struct area_items
    {
        /** Newest position of a page or an item. */
        store_position newest;
        /** Position up to which every item of the area is known. */
        store_position complete;
        std::map<std::string, kept_item> items;
    };

    /** Records the page's position; returns the change of era, if any. */
    static bool is_removed_before(const area_items& known,
                                  const store_change& change);
    static std::optional<era_change> advance(area_items& known,
                                             const followed_page& page);
    static bool apply_change(area_items& known, const store_change& change,
                             std::vector<ignored_change>& ignored);
    static void remove_unlisted(area_items& known, const followed_page& page,
                                std::vector<store_change>& removed);
    void settings_events(const std::vector<store_change>& changes,
                         std::vector<gateway_event>& events) const;
    static void server_events(const std::vector<store_change>& changes,
                              std::vector<gateway_event>& events);

    area_items m_settings;
    area_items m_servers;
};

} // namespace cranberrywood

#endif
