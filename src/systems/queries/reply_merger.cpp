#include "systems/queries/reply_merger.hpp"

#include "systems/queries/hit_merge.hpp"

#include <algorithm>
#include <iterator>

namespace cranberrywood {

namespace {

// Versions are reported again after this time, as an entry VM expires versions
// that are not reported.
constexpr duration version_report_interval = std::chrono::seconds(2);

// Bounds the completed parts when nothing takes them.
constexpr std::size_t max_completed = 4096;

bool same_range(const held_versions& a, const held_versions& b)
{
    return a.oldest == b.oldest && a.newest == b.newest;
}

} // namespace

reply_merger::query_pointer
reply_merger::record(vm_id entry, const owner_request& request, time_point now)
{
    query_pointer& found = m_queries[key_of(entry, request)];
    if (!found) {
        found = std::make_shared<owned_query>();
        found->entry = entry;
        found->request = request;
        found->request.asks.clear();
        found->deadline = now + request.time_left;
    }
    return found;
}

std::vector<reply_merger::query_pointer>
reply_merger::find(vm_id entry, query_id query) const
{
    std::vector<query_pointer> found;
    const query_key first(entry, query, index_version(), shard_map_version());
    for (auto it = m_queries.lower_bound(first); it != m_queries.end(); ++it) {
        const query_pointer& record = it->second;
        if (record->entry != entry || record->request.query != query) {
            break;
        }
        found.push_back(record);
    }
    return found;
}

void reply_merger::finish(const query_pointer& query,
                          const shard_result& result)
{
    query->results.push_back(result);
    if (result.outcome == shard_outcome::done) {
        add_completed(*query, result.shard);
    }
    mark_for_flush(query);
    query->open_asks.erase(result.id);
    if (query->open_asks.empty()) {
        m_queries.erase(key_of(query->entry, query->request));
    }
}

void reply_merger::add_hits(owned_query& query, std::vector<hit> hits)
{
    std::move(hits.begin(), hits.end(), std::back_inserter(query.hits));
}

void reply_merger::report_versions(owned_query& query,
                                   const held_versions& held, time_point now)
{
    reported_versions& last = m_reported[{query.entry, held.backend_server}];
    const bool is_new = last.held.backend_server != held.backend_server;
    if (!is_new && same_range(last.held, held) &&
        now - last.at < version_report_interval) {
        return;
    }
    last = {held, now};
    query.versions.push_back(held);
}

void reply_merger::flush(outbox& out)
{
    for (const auto& query : m_to_flush) {
        owner_reply reply;
        reply.query = query->request.query;
        reply.index = query->request.index;
        reply.results = std::exchange(query->results, {});
        reply.versions = std::exchange(query->versions, {});
        merge_hits(reply.hits, std::exchange(query->hits, {}),
                   query->request.hit_limit);
        query->queued_for_flush = false;
        out.to_peer(query->entry, std::move(reply));
    }
    m_to_flush.clear();
}

std::vector<completed_part> reply_merger::take_completed()
{
    return std::exchange(m_completed, {});
}

reply_merger::query_key reply_merger::key_of(vm_id entry,
                                             const owner_request& request)
{
    return {entry, request.query, request.index, request.map};
}

void reply_merger::mark_for_flush(const query_pointer& query)
{
    if (!query->queued_for_flush) {
        query->queued_for_flush = true;
        m_to_flush.push_back(query);
    }
}

void reply_merger::add_completed(const owned_query& query, shard_id shard)
{
    if (m_completed.size() < max_completed) {
        m_completed.push_back({query.request.print, shard});
    }
}

} // namespace cranberrywood
