#include "systems/store/store_mirror.hpp"

#include <algorithm>
#include <set>

namespace cranberrywood {

namespace {

/** Returns whether two reports make no difference to routing. */
bool is_same_for_routing(const backend_server_entry& a,
                         const backend_server_entry& b)
{
    const bool a_cold = a.cold_remaining > duration(0);
    const bool b_cold = b.cold_remaining > duration(0);
    return a.service == b.service && a.address == b.address &&
           a.data_centre == b.data_centre && a.slots == b.slots &&
           a.draining == b.draining && a.born_ms == b.born_ms &&
           a_cold == b_cold;
}

/** Returns whether a list of the area that lacks the item removes it. */
bool is_removable(const store_value& value, store_area area)
{
    // The operator replaces the configuration and never removes it.
    if (std::holds_alternative<std::shared_ptr<const catalogue>>(value)) {
        return false;
    }
    return std::holds_alternative<backend_server_entry>(value) ==
           (area == store_area::backend_servers);
}

} // namespace

store_mirror::store_mirror(incarnation process) : m_process(process) {}

bool store_mirror::apply(store_area area, const followed_page& page)
{
    bool changed = false;
    if (page.whole) {
        changed = remove_unlisted(area, page);
        bool& read = area == store_area::backend_servers ? m_read_servers
                                                         : m_read_settings;
        changed = changed || !read;
        read = true;
    }
    for (const store_change& change : page.changes) {
        changed = apply_change(change) || changed;
    }
    return changed;
}

bool store_mirror::apply_change(const store_change& change)
{
    if (std::holds_alternative<unreadable_item>(change.value)) {
        return false;
    }
    const bool removed = std::holds_alternative<removed_item>(change.value);
    const auto known = m_items.find(change.key);
    if (known == m_items.end() && removed) {
        return false;
    }
    if (known != m_items.end() && !is_significant(known->second, change)) {
        raise_position(known->second, change);
        return false;
    }
    kept_item& kept = m_items[change.key];
    if (!removed) {
        kept.value = change.value;
    }
    kept.item = {change.key, change.position, removed,
                 removed ? std::string() : change.bytes};
    kept.place = ++m_place;
    kept.lost = false;
    return true;
}

// The known value stays the newest one in a later era, where followers do not
// take over items of an earlier era.
void store_mirror::raise_position(kept_item& known, const store_change& change)
{
    if (!known.item.removed) {
        known.item.position = std::max(known.item.position, change.position);
    }
}

// Removed items are kept as tombstones, so that a stale report does not restore
// them and followers receive the removal.
bool store_mirror::is_significant(const kept_item& known,
                                  const store_change& change) const
{
    if (change.position <= known.item.position ||
        is_older_configuration(known.value, change.value)) {
        return false;
    }
    if (std::holds_alternative<removed_item>(change.value)) {
        return !known.item.removed;
    }
    const auto* before = std::get_if<backend_server_entry>(&known.value);
    const auto* entry = std::get_if<backend_server_entry>(&change.value);
    if (before == nullptr || entry == nullptr) {
        return true;
    }
    if (is_late_report(*before, *entry, !known.item.removed || known.lost)) {
        return false;
    }
    return known.item.removed || !is_same_for_routing(*before, *entry);
}

bool store_mirror::remove_unlisted(store_area area, const followed_page& page)
{
    std::set<std::string> listed;
    for (const store_change& change : page.changes) {
        listed.insert(change.key);
    }
    bool any_removed = false;
    for (auto& [key, kept] : m_items) {
        if (!kept.item.removed && is_removable(kept.value, area) &&
            kept.item.position <= page.at && listed.count(key) == 0) {
            kept.lost = kept.item.position.era < page.at.era;
            kept.item.removed = true;
            kept.item.position = page.at;
            kept.item.bytes.clear();
            kept.place = ++m_place;
            any_removed = true;
        }
    }
    return any_removed;
}

mirror_update store_mirror::after(incarnation process,
                                  std::uint64_t place) const
{
    mirror_update update;
    update.place = m_place;
    update.process = m_process;
    update.whole = process != m_process || place > m_place;
    for (const auto& [key, kept] : m_items) {
        if (update.whole ? !kept.item.removed : kept.place > place) {
            update.items.push_back(kept.item);
        }
    }
    return update;
}

} // namespace cranberrywood
