#include "systems/store/store_view.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cranberrywood {

const char* name_of(ignored_reason why)
{
    switch (why) {
    case ignored_reason::older_revision:
        return "older_revision";
    case ignored_reason::older_era:
        return "older_era";
    case ignored_reason::older_configuration:
        return "older_configuration";
    case ignored_reason::unreadable:
        return "unreadable";
    }
    return "unknown";
}

view_update store_view::apply_serializable(store_area area,
                                           const followed_page& page)
{
    const area_items& known =
        area == store_area::operator_settings ? m_settings : m_servers;
    if (page.at < known.complete) {
        view_update update;
        update.ignored.push_back({name_of(area), ignored_reason::older_revision,
                                  page.at, known.complete, "whole list"});
        return update;
    }
    return apply(area, page);
}

view_update store_view::apply(store_area area, const followed_page& page)
{
    view_update update;
    area_items& known =
        area == store_area::operator_settings ? m_settings : m_servers;
    update.restored = advance(known, page);
    if (update.restored) {
        update.events.emplace_back(store_restored{});
    }
    std::vector<store_change> applied;
    if (page.whole) {
        remove_unlisted(known, page, applied);
    }
    for (const store_change& change : page.changes) {
        if (apply_change(known, change, update.ignored)) {
            applied.push_back(change);
        }
    }
    if (page.whole) {
        known.complete = std::max(known.complete, page.at);
    }
    if (area == store_area::operator_settings) {
        settings_events(applied, update.events);
    } else {
        server_events(applied, update.events);
    }
    return update;
}

std::optional<era_change> store_view::advance(area_items& known,
                                              const followed_page& page)
{
    const store_position before = known.newest;
    for (const store_change& change : page.changes) {
        known.newest = std::max(known.newest, change.position);
    }
    known.newest = std::max(known.newest, page.at);
    if (known.items.empty() || known.newest.era == before.era) {
        return std::nullopt;
    }
    era_change change{before, known.newest, 0};
    if (page.whole) {
        std::set<std::string> listed;
        for (const store_change& item : page.changes) {
            listed.insert(item.key);
        }
        for (const auto& [key, kept] : known.items) {
            const bool removed =
                std::holds_alternative<removed_item>(kept.value);
            change.missing += !removed && listed.count(key) == 0 ? 1 : 0;
        }
    }
    return change;
}

// A reader's copy may be older than a list of this VM. An item that such a copy
// has and the list lacks was removed in between.
bool store_view::is_removed_before(const area_items& known,
                                   const store_change& change)
{
    return change.position.era == known.complete.era &&
           change.position <= known.complete;
}

bool store_view::apply_change(area_items& known, const store_change& change,
                              std::vector<ignored_change>& ignored)
{
    const auto found = known.items.find(change.key);
    const bool is_known = found != known.items.end();
    const store_position position =
        is_known ? found->second.position : store_position();
    const auto ignore = [&](ignored_reason why, std::string details) {
        ignored.push_back(
            {change.key, why, change.position, position, std::move(details)});
        return false;
    };
    if (is_known && change.position == position) {
        return false;
    }
    if (change.position.era < known.newest.era) {
        return ignore(ignored_reason::older_era, {});
    }
    if ((is_known && change.position < position) ||
        (!is_known && is_removed_before(known, change))) {
        return ignore(ignored_reason::older_revision, {});
    }
    if (const auto* item = std::get_if<unreadable_item>(&change.value)) {
        return ignore(ignored_reason::unreadable, item->why);
    }
    if (is_known && is_older_configuration(found->second.value, change.value)) {
        return ignore(ignored_reason::older_configuration, {});
    }
    known.items[change.key] = {change.position, change.value};
    return true;
}

// A list may be older than the known items. An item that is not in the list was
// removed only if its last change is not newer than the list. The operator
// replaces the configuration and never removes it.
void store_view::remove_unlisted(area_items& known, const followed_page& page,
                                 std::vector<store_change>& removed)
{
    std::set<std::string> listed;
    for (const store_change& change : page.changes) {
        listed.insert(change.key);
    }
    for (auto& [key, kept] : known.items) {
        if (listed.count(key) != 0 || kept.position > page.at ||
            std::holds_alternative<removed_item>(kept.value) ||
            std::holds_alternative<std::shared_ptr<const catalogue>>(
                kept.value)) {
            continue;
        }
        removed_item item;
        if (const auto* entry =
                std::get_if<backend_server_entry>(&kept.value)) {
            item.server = entry->id;
        }
        kept = {page.at, item};
        removed.push_back({key, page.at, item, {}});
    }
}

void store_view::settings_events(const std::vector<store_change>& changes,
                                 std::vector<gateway_event>& events) const
{
    bool evacuations_changed = false;
    for (const store_change& change : changes) {
        if (const auto* read =
                std::get_if<std::shared_ptr<const catalogue>>(&change.value)) {
            events.emplace_back(catalogue_read{*read});
        } else {
            evacuations_changed = true;
        }
    }
    if (!evacuations_changed) {
        return;
    }
    evacuations_read read;
    for (const auto& [key, item] : m_settings.items) {
        if (const auto* out = std::get_if<evacuated_data_centre>(&item.value)) {
            read.data_centres.push_back(out->id);
        }
    }
    // Evacuations come before a configuration, to stop new sends to a data
    // centre at once, and after the news that the store was restored.
    const auto at = std::find_if(
        events.begin(), events.end(), [](const gateway_event& event) {
            return std::holds_alternative<catalogue_read>(event);
        });
    events.insert(at, std::move(read));
}

// Events keep the order of the changes: a report that follows the removal of
// the same registration is stale, and only the order shows this.
void store_view::server_events(const std::vector<store_change>& changes,
                               std::vector<gateway_event>& events)
{
    servers_reported report;
    const auto flush = [&] {
        if (!report.entries.empty()) {
            events.emplace_back(std::exchange(report, {}));
        }
    };
    for (const store_change& change : changes) {
        if (const auto* entry =
                std::get_if<backend_server_entry>(&change.value)) {
            report.entries.push_back(*entry);
        } else if (const auto* removed =
                       std::get_if<removed_item>(&change.value)) {
            flush();
            events.emplace_back(server_unlisted{removed->server});
        }
    }
    flush();
}

} // namespace cranberrywood
