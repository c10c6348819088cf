#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP

#include "core/gateway_messages.hpp"
#include "systems/store/store_follower.hpp"

#include <map>
#include <unordered_map>

namespace cranberrywood {

/**
 * What this VM knows of the store's items. Turns changes into events for the
 * gateway, and never lets an item go back to an older revision.
 */
class store_view
{
public:
    /** Takes changes; returns the events that follow from them. */
    std::vector<gateway_event> apply(store_area area,
                                     const followed_page& page);

    /** Returns how many items could not be read. */
    std::uint64_t unreadable_items() const
    {
        return m_unreadable;
    }

private:
    struct kept_item
    {
        store_revision revision;
        store_value value;
    };
    using items = std::map<std::string, kept_item>;

    bool take(items& known, const store_change& change);
    static void drop_missing(items& known, const followed_page& page,
                             std::vector<store_change>& removed);
    void settings_events(const std::vector<store_change>& changes,
                         std::vector<gateway_event>& events) const;
    static void server_events(const std::vector<store_change>& changes,
                              std::vector<gateway_event>& events);

    items m_settings;
    items m_servers;
    std::uint64_t m_unreadable = 0;
};

} // namespace cranberrywood

#endif
