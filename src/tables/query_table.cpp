#include "tables/query_table.hpp"

#include <algorithm>

namespace cranberrywood {

bool query_shard_row::has_open_attempt() const
{
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const shard_attempt& a) { return a.open; });
}

coverage query_row::covers() const
{
    coverage c;
    c.map = map;
    c.index = index;
    for (const query_shard_row& shard : shards) {
        c.total_keys += shard.keys.size();
        if (shard.covered) {
            c.covered_keys += shard.keys.size();
        }
        c.shards.push_back({shard.shard, shard.keys.first, shard.keys.last,
                            shard.covered, shard.left_out_by_rule});
    }
    return c;
}

query_row& query_table::add(query_row row)
{
    const query_id id = row.id;
    m_by_caller.emplace(row.request.token, id);
    return m_rows.emplace(id, std::move(row)).first->second;
}

query_row* query_table::find(query_id id)
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

query_row* query_table::find(caller_token token)
{
    const auto found = m_by_caller.find(token);
    return found == m_by_caller.end() ? nullptr : find(found->second);
}

query_row& query_table::renumber(query_id from, query_id to)
{
    auto node = m_rows.extract(from);
    node.key() = to;
    node.mapped().id = to;
    m_by_caller[node.mapped().request.token] = to;
    return m_rows.insert(std::move(node)).position->second;
}

void query_table::remove(query_id id)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end()) {
        return;
    }
    m_by_caller.erase(found->second.request.token);
    m_rows.erase(found);
}

} // namespace cranberrywood
