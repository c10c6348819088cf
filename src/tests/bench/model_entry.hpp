#ifndef CRANBERRYWOOD_TESTS_BENCH_MODEL_ENTRY_HPP
#define CRANBERRYWOOD_TESTS_BENCH_MODEL_ENTRY_HPP

#include "bench/timeline.hpp"
#include "systems/queries/extra_send_budget.hpp"
#include "systems/queries/latency_estimate.hpp"
#include "systems/servers/replica_choice.hpp"

#include <map>

namespace cranberrywood::bench {

/** Which of the policies a run uses; false stands for the baseline. */
struct policy
{
    bool hedge = true;
    bool window = true;
    bool fair = true;
    bool choice = true;
};

/** How one query ended. */
struct ended_query
{
    workspace_id workspace;
    time_point started;
    duration latency{0};
    std::uint32_t covered = 0;
    std::uint32_t shards = 0;
};

/** What the entry side of a VM needs of the run. */
class entry_surroundings
{
public:
    virtual ~entry_surroundings() = default;
    virtual timeline& time() = 0;
    virtual const settings_index& current() const = 0;
    virtual const policy& policies() const = 0;
    virtual random_source& random() = 0;
    virtual vm_id owner_of(backend_server_id server) const = 0;
    virtual void send(vm_id from, vm_id to, owner_request request) = 0;
    virtual void send(vm_id from, vm_id to, owner_cancel cancel) = 0;
    virtual void ended(const ended_query& query) = 0;
};

/**
 * Entry side of one VM: fans a query out, hedges, retries and answers at the
 * deadline at the latest. It decides by the tables under measurement.
 */
class model_entry
{
public:
    model_entry(vm_id self, data_centre_id centre, std::uint64_t number,
                entry_surroundings& around)
        : m_self(self), m_origin(number), m_around(around), m_choice(centre)
    {
    }

    std::uint64_t first_sends = 0;
    std::uint64_t extra_sends = 0;

    void settings_changed(std::shared_ptr<const settings_index> settings)
    {
        m_choice.settings_changed(std::move(settings));
    }
    void start(workspace_id workspace, duration deadline);
    void receive(const owner_reply& reply);

private:
    struct attempt
    {
        backend_server_id server;
        time_point sent_at;
        bool open = true;
    };
    struct part
    {
        bool done = false;
        /** Ended without hits, and not to be tried again. */
        bool failed = false;
        std::map<sub_request_id, attempt> attempts;
    };
    struct running_query
    {
        query_id id;
        workspace_id workspace;
        time_point started;
        time_point deadline;
        std::size_t open_parts = 0;
        std::map<shard_id, part> parts;
    };
    using batch = std::map<vm_id, std::vector<shard_ask>>;

    const service_settings& service() const
    {
        return m_around.current().all().services.front();
    }
    time_point now() const
    {
        return m_around.time().now();
    }
    std::optional<backend_server_id> pick(shard_id shard, const part& p,
                                          bool allow_cold);
    bool add(running_query& q, shard_id shard, bool allow_cold, batch& out);
    void dispatch(const running_query& q, batch all);
    void plan_hedge(query_id id);
    void hedge(query_id id);
    void take(running_query& q, const shard_result& result, batch& retries);
    void cancel_losers(running_query& q, part& p);
    void end(query_id id);

    vm_id m_self;
    std::uint64_t m_origin;
    entry_surroundings& m_around;
    std::uint64_t m_sequence = 0;
    latency_estimate m_latency;
    extra_send_budget m_budget;
    replica_choice m_choice;
    std::map<query_id, running_query> m_queries;
};

inline std::optional<backend_server_id>
model_entry::pick(shard_id shard, const part& p, bool allow_cold)
{
    std::vector<backend_server_id> fresh;
    for (const auto server : m_around.current().replicas_of(shard)) {
        const bool tried = std::any_of(
            p.attempts.begin(), p.attempts.end(),
            [&](const auto& a) { return a.second.server == server; });
        const auto& known = *m_around.current().find(server);
        if (!tried && m_around.current().in_service(known)) {
            fresh.push_back(server);
        }
    }
    if (m_around.policies().choice || fresh.empty()) {
        return m_choice.choose(fresh, allow_cold, m_around.random(), now());
    }
    return fresh[m_around.random().below(fresh.size())];
}

inline bool model_entry::add(running_query& q, shard_id shard, bool allow_cold,
                             batch& out)
{
    part& p = q.parts[shard];
    const auto server = pick(shard, p, allow_cold);
    if (!server) {
        return false;
    }
    const sub_request_id id{incarnation(m_origin), ++m_sequence};
    p.attempts[id] = {*server, now(), true};
    m_choice.sent(*server);
    out[m_around.owner_of(*server)].push_back({id, shard, *server});
    return true;
}

inline void model_entry::dispatch(const running_query& q, batch all)
{
    for (auto& [owner, asks] : all) {
        owner_request request;
        request.query = q.id;
        request.workspace =
            m_around.policies().fair ? q.workspace : workspace_id(1);
        request.service = service().id;
        request.index = service().index;
        request.map = service().map;
        request.time_left = q.deadline - now();
        request.hit_limit = 10;
        request.asks = std::move(asks);
        m_around.send(m_self, owner, std::move(request));
    }
}

inline void model_entry::start(workspace_id workspace, duration deadline)
{
    const query_id id{incarnation(m_origin), ++m_sequence};
    running_query& q = m_queries[id];
    q.id = id;
    q.workspace = workspace;
    q.started = now();
    q.deadline = now() + deadline;
    batch first;
    for (const auto shard : m_around.current().shards_of(service().id)) {
        q.parts[shard];
        add(q, shard, true, first);
    }
    q.open_parts = q.parts.size();
    first_sends += q.parts.size();
    m_budget.first_sends(q.parts.size(), service().extra_send_percent);
    dispatch(q, std::move(first));
    plan_hedge(id);
    m_around.time().after(deadline, [this, id] { end(id); });
}

// A part that found the budget empty is looked at again.
inline void model_entry::plan_hedge(query_id id)
{
    const double q = hedge_quantile_for(service().extra_send_percent);
    const auto hedge_after = m_latency.quantile(service().id, q);
    if (m_around.policies().hedge && hedge_after) {
        m_around.time().after(*hedge_after, [this, id] { hedge(id); });
    }
}

inline void model_entry::hedge(query_id id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end()) {
        return;
    }
    running_query& q = found->second;
    batch extra;
    for (auto& [shard, p] : q.parts) {
        if (p.done || p.failed || p.attempts.size() != 1) {
            continue;
        }
        if (m_budget.available() > 0 && add(q, shard, false, extra)) {
            m_budget.take();
            ++extra_sends;
        }
    }
    dispatch(q, std::move(extra));
    plan_hedge(id);
}

inline void model_entry::receive(const owner_reply& reply)
{
    const auto found = m_queries.find(reply.query);
    if (found == m_queries.end()) {
        return;
    }
    running_query& q = found->second;
    batch retries;
    for (const auto& result : reply.results) {
        take(q, result, retries);
    }
    dispatch(q, std::move(retries));
    if (q.open_parts == 0) {
        end(q.id);
    }
}

inline void model_entry::take(running_query& q, const shard_result& result,
                              batch& retries)
{
    part& p = q.parts[result.shard];
    attempt& a = p.attempts[result.id];
    if (!a.open) {
        return;
    }
    a.open = false;
    const duration latency = now() - a.sent_at;
    m_choice.observe(result, latency, now());
    if (p.done) {
        return;
    }
    if (result.outcome == shard_outcome::done) {
        m_latency.observe(service().id, latency, now());
        p.done = true;
        --q.open_parts;
        cancel_losers(q, p);
        return;
    }
    const bool others =
        std::any_of(p.attempts.begin(), p.attempts.end(),
                    [](const auto& other) { return other.second.open; });
    if (others) {
        return;
    }
    if (m_budget.available() > 0 && add(q, result.shard, true, retries)) {
        m_budget.take();
        ++extra_sends;
        return;
    }
    p.failed = true;
    --q.open_parts;
}

inline void model_entry::cancel_losers(running_query& q, part& p)
{
    for (auto& [id, a] : p.attempts) {
        if (a.open) {
            a.open = false;
            m_choice.record_abandoned(a.server, now() - a.sent_at, now());
            m_around.send(m_self, m_around.owner_of(a.server),
                          owner_cancel{q.id, {id}});
        }
    }
}

inline void model_entry::end(query_id id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end()) {
        return;
    }
    running_query& q = found->second;
    ended_query e;
    e.workspace = q.workspace;
    e.started = q.started;
    e.latency = now() - q.started;
    e.shards = static_cast<std::uint32_t>(q.parts.size());
    for (auto& [shard, p] : q.parts) {
        e.covered += p.done ? 1 : 0;
        cancel_losers(q, p);
    }
    m_queries.erase(found);
    m_around.ended(e);
}

} // namespace cranberrywood::bench

#endif
