#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_MESSAGES_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_MESSAGES_HPP

#include "systems/store/store_position.hpp"
#include "tables/backend_server_entry.hpp"
#include "tables/catalogue.hpp"
#include "units/ids.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cranberrywood {

/** The parts of the store that are watched. */
enum class store_area : std::uint8_t
{
    /** The operators' configuration and the evacuated data centres. */
    operator_settings,
    backend_servers,
};

const char* name_of(store_area area);

/** A data centre that operators have taken out of service. */
struct evacuated_data_centre
{
    data_centre_id id;
};

/** An item whose value cannot be parsed; it comes from another writer. */
struct unreadable_item
{
    std::string why;
};

/** Marks an item as removed. */
struct removed_item
{
    /** The backend server, if the item was a backend server's entry. */
    backend_server_id server;
};

using store_value =
    std::variant<std::shared_ptr<const catalogue>, backend_server_entry,
                 evacuated_data_centre, unreadable_item, removed_item>;

/** One write or removal of an item. */
struct store_change
{
    std::string key;
    store_position position;
    store_value value;
    /** Value as stored, for the VMs that follow this one. */
    std::string bytes;
};

/**
 * Returns whether a configuration is older than the known one. The operator's
 * versions never go back, even when the store does.
 */
bool is_older_configuration(const store_value& known, const store_value& value);

/** One page of a list, or the result of one watch. */
struct store_page
{
    std::vector<store_change> changes;
    /** The list continues after the last key of this page. */
    bool more = false;
    store_position at;
};

/** Why a call to the store returned no page. */
enum class store_fault : std::uint8_t
{
    /** The store has discarded the requested revision: list again. */
    history_lost,
    /** Refused, unreachable, timed out or unreadable: retry. */
    unavailable,
};

/** Lists the items after a key; an empty key lists all. */
struct list_items
{
    std::string after_key;
    /** Any replica of the store may answer; the list may be seconds old. */
    bool serializable = false;
};

/** Waits for changes after a revision. */
struct watch_items
{
    store_revision after;
    duration wait{0};
};

/** Makes no call before a time. */
struct pause_reading
{
    time_point until;
};

/** Makes no further call. */
struct stop_reading
{
};

using store_call =
    std::variant<list_items, watch_items, pause_reading, stop_reading>;

} // namespace cranberrywood

#endif
