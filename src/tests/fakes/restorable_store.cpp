#include "fakes/restorable_store.hpp"

namespace cranberrywood {

namespace {

const std::string operator_prefix = "op/";

} // namespace

std::string operator_key(const std::string& name)
{
    return operator_prefix + name;
}

void restorable_store::put(const std::string& key, store_value value)
{
    append(key, std::move(value));
}

void restorable_store::remove(const std::string& key)
{
    removed_item removed;
    for (const write& w : m_history) {
        const auto* entry = std::get_if<backend_server_entry>(&w.value);
        if (w.key == key && entry != nullptr) {
            removed.server = entry->id;
        }
    }
    append(key, removed);
}

void restorable_store::append(const std::string& key, store_value value)
{
    m_history.push_back({key, value, m_values.size()});
    m_values.push_back(std::move(value));
}

store_value restorable_store::value_of(const std::string& bytes) const
{
    return m_values.at(std::stoul(bytes));
}

void restorable_store::restore(store_revision copy)
{
    m_history.resize(copy.value());
    m_era = store_era(m_era.value() + 1);
}

store_page restorable_store::list(store_area area) const
{
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < m_history.size(); ++i) {
        last[m_history[i].key] = i + 1;
    }
    store_page page;
    page.at = at();
    for (const auto& [key, revision] : last) {
        const store_change change = change_at(revision);
        if (is_in(area, key) &&
            !std::holds_alternative<removed_item>(change.value)) {
            page.changes.push_back(change);
        }
    }
    return page;
}

std::variant<store_page, store_fault>
restorable_store::watch(store_area area, store_revision after) const
{
    if (after > at().revision) {
        return store_fault::history_lost;
    }
    store_page page;
    page.at = at();
    for (std::size_t r = after.value() + 1; r <= m_history.size(); ++r) {
        if (is_in(area, m_history[r - 1].key)) {
            page.changes.push_back(change_at(r));
        }
    }
    return page;
}

std::variant<store_page, store_fault>
restorable_store::answer(store_area area, const store_call& call) const
{
    if (const auto* watched = std::get_if<watch_items>(&call)) {
        return watch(area, watched->after);
    }
    return list(area);
}

store_change restorable_store::change_at(std::size_t revision) const
{
    const write& w = m_history[revision - 1];
    return {w.key,
            {m_era, store_revision(revision)},
            w.value,
            std::to_string(w.number)};
}

bool restorable_store::is_in(store_area area, const std::string& key) const
{
    const bool of_operator =
        key.compare(0, operator_prefix.size(), operator_prefix) == 0;
    return of_operator == (area == store_area::operator_settings);
}

} // namespace cranberrywood
