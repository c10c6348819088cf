#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_VIEW_HPP

#include "core/gateway_messages.hpp"
#include "systems/store/store_follower.hpp"

#include <map>
#include <unordered_map>

namespace cranberrywood {

/**
 * The store's items as this VM knows them. Converts changes into events for the
 * gateway and ignores changes that are older than the known revision.
 */
class store_view
{
public:
    /** Applies changes; returns the resulting events. */
    std::vector<gateway_event> apply(store_area area,
                                     const followed_page& page);

    /** Returns how many changes had a value that could not be parsed. */
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

    bool apply_change(items& known, const store_change& change);
    static void remove_unlisted(items& known, const followed_page& page,
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
