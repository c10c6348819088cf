#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP

#include "core/gateway_messages.hpp"
#include "systems/store/store_follower.hpp"

#include <map>
#include <unordered_map>

namespace cranberrywood {

/** Why a change was not applied. */
enum class ignored_reason : std::uint8_t
{
    /** A newer revision of the item is known. */
    older_revision,
    /** The value cannot be parsed; it comes from another writer. */
    unreadable,
};

const char* name_of(ignored_reason why);

/** A change that was not applied. */
struct ignored_change
{
    std::string key;
    ignored_reason why = ignored_reason::older_revision;
    store_revision revision;
    /** Known revision of the item; 0 if it is unknown. */
    store_revision known;
    /** Details of the reason; may be empty. */
    std::string details;
};

/** What changes of the store lead to. */
struct view_update
{
    std::vector<gateway_event> events;
    std::vector<ignored_change> ignored;
};

/**
 * The store's items as this VM knows them. Converts changes into events for the
 * gateway and ignores changes that are older than the known revision.
 */
class store_view
{
public:
    /** Applies changes; returns the resulting events and what was ignored. */
    view_update apply(store_area area, const followed_page& page);

private:
    struct kept_item
    {
        store_revision revision;
        store_value value;
    };
    using items = std::map<std::string, kept_item>;

    static bool apply_change(items& known, const store_change& change,
                             std::vector<ignored_change>& ignored);
    static void remove_unlisted(items& known, const followed_page& page,
                                std::vector<store_change>& removed);
    void settings_events(const std::vector<store_change>& changes,
                         std::vector<gateway_event>& events) const;
    static void server_events(const std::vector<store_change>& changes,
                              std::vector<gateway_event>& events);

    items m_settings;
    items m_servers;
};

} // namespace cranberrywood

#endif
