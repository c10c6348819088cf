#include "systems/store/store_view.hpp"

#include <set>
#include <utility>

namespace cranberrywood {

const char* name_of(ignored_reason why)
{
    switch (why) {
    case ignored_reason::older_revision:
        return "older_revision";
    case ignored_reason::unreadable:
        return "unreadable";
    }
    return "unknown";
}

view_update store_view::apply(store_area area, const followed_page& page)
{
    view_update update;
    items& known =
        area == store_area::operator_settings ? m_settings : m_servers;
    std::vector<store_change> applied;
    if (page.whole) {
        remove_unlisted(known, page, applied);
    }
    for (const store_change& change : page.changes) {
        if (apply_change(known, change, update.ignored)) {
            applied.push_back(change);
        }
    }
    if (area == store_area::operator_settings) {
        settings_events(applied, update.events);
    } else {
        server_events(applied, update.events);
    }
    return update;
}

bool store_view::apply_change(items& known, const store_change& change,
                              std::vector<ignored_change>& ignored)
{
    const auto found = known.find(change.key);
    const store_revision revision =
        found == known.end() ? store_revision() : found->second.revision;
    if (found != known.end() && change.revision <= revision) {
        if (change.revision < revision) {
            ignored.push_back({change.key,
                               ignored_reason::older_revision,
                               change.revision,
                               revision,
                               {}});
        }
        return false;
    }
    if (const auto* item = std::get_if<unreadable_item>(&change.value)) {
        ignored.push_back({change.key, ignored_reason::unreadable,
                           change.revision, revision, item->why});
        return false;
    }
    known[change.key] = {change.revision, change.value};
    return true;
}

// A list may be older than the known items. An item that is not in the list was
// removed only if its last change is not newer than the list.
void store_view::remove_unlisted(items& known, const followed_page& page,
                                 std::vector<store_change>& removed)
{
    std::set<std::string> listed;
    for (const store_change& change : page.changes) {
        listed.insert(change.key);
    }
    for (auto& [key, kept] : known) {
        if (listed.count(key) != 0 || kept.revision > page.at ||
            std::holds_alternative<removed_item>(kept.value)) {
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
    for (const auto& [key, item] : m_settings) {
        if (const auto* out = std::get_if<evacuated_data_centre>(&item.value)) {
            read.data_centres.push_back(out->id);
        }
    }
    // Evacuations come first, to stop new sends to a data centre at once.
    events.insert(events.begin(), std::move(read));
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
