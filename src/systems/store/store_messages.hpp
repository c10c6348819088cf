#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_MESSAGES_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_MESSAGES_HPP

#include "tables/backend_server_entry.hpp"
#include "tables/catalogue.hpp"
#include "units/ids.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cranberrywood {

/** Revision of the platform's store; grows with each change. */
using store_revision = strong_value<struct store_revision_tag, std::uint64_t>;

/** The two parts of the store that are followed. */
enum class store_area : std::uint8_t
{
    /** The operators' configuration and the data centres taken out. */
    operator_settings,
    backend_servers,
};

/** A data centre that operators have taken out. */
struct evacuated_data_centre
{
    data_centre_id id;
};

/** An item that another writer left and that means nothing. */
struct unreadable_item
{
    std::string why;
};

/** An item was removed. */
struct removed_item
{
    /** The backend server whose entry it was, if it was one. */
    backend_server_id server;
};

using store_value =
    std::variant<std::shared_ptr<const catalogue>, backend_server_entry,
                 evacuated_data_centre, unreadable_item, removed_item>;

/** One item as it was written or removed. */
struct store_change
{
    std::string key;
    store_revision revision;
    store_value value;
    /** Value as the store has it, for those who follow this VM. */
    std::string bytes;
};

/** One answer of the store. */
struct store_page
{
    std::vector<store_change> changes;
    /** Pages of a list follow, behind the last key of this one. */
    bool more = false;
    store_revision at;
};

/** Why the store gave no page. */
enum class store_fault : std::uint8_t
{
    /** The revision that was asked for is forgotten: list again. */
    history_lost,
    /** Refused, unreachable, late or unreadable: try again. */
    unavailable,
};

/** Read all items, from behind a key on. */
struct list_items
{
    std::string after_key;
};

/** Wait for changes behind a revision. */
struct watch_items
{
    store_revision after;
    duration wait{0};
};

/** Ask nothing before a time. */
struct pause_reading
{
    time_point until;
};

using store_call = std::variant<list_items, watch_items, pause_reading>;

} // namespace cranberrywood

#endif
