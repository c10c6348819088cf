#include "tables/id_record_table.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

bool expired(const id_record& r, duration life, time_point now)
{
    switch (r.state) {
    case record_state::running:
        return false;
    case record_state::refused:
        return now >= r.refused_until;
    case record_state::ended:
        return now >= r.made + life;
    }
    return false;
}

} // namespace

id_record* id_record_table::find(request_id id, duration life, time_point now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        return nullptr;
    }
    if (expired(found->second, life, now)) {
        erase(found);
        return nullptr;
    }
    return &found->second;
}

id_record& id_record_table::make(request_id id, role_group_id group,
                                 time_point now)
{
    id_record& r = m_records[id];
    r = {};
    r.group = group;
    r.made = now;
    r.reply.request = id;
    return r;
}

void id_record_table::begin_run(id_record& r, query_id run, sub_request_id sub)
{
    r.run = run;
    r.sub = sub;
    r.state = record_state::running;
    m_runs[run] = r.reply.request;
    m_running.insert(r.reply.request);
}

void id_record_table::end_wait(id_record& r)
{
    m_running.erase(r.reply.request);
}

id_record* id_record_table::find_run(query_id run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &m_records.at(found->second);
}

void id_record_table::end_run(query_id run)
{
    m_runs.erase(run);
}

id_record& id_record_table::at(request_id id)
{
    return m_records.at(id);
}

bool id_record_table::runs(role_group_id group) const
{
    return std::any_of(
        m_running.begin(), m_running.end(),
        [&](const request_id& id) { return m_records.at(id).group == group; });
}

std::vector<const id_record*>
id_record_table::of(role_group_id group, duration life, time_point now) const
{
    std::vector<const id_record*> list;
    for (const auto& [id, r] : m_records) {
        if (r.group == group && !expired(r, life, now)) {
            list.push_back(&r);
        }
    }
    return list;
}

void id_record_table::drop(role_group_id group)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto next = std::next(it);
        if (it->second.group == group) {
            erase(it);
        }
        it = next;
    }
}

void id_record_table::sweep(duration life, time_point now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto next = std::next(it);
        if (expired(it->second, life, now)) {
            erase(it);
        }
        it = next;
    }
}

void id_record_table::erase(records_by_id::iterator it)
{
    m_runs.erase(it->second.run);
    m_running.erase(it->first);
    m_records.erase(it);
}

} // namespace cranberrywood
