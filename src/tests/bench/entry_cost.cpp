#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"
#include "systems/queries/query_coordinator.hpp"
#include "wire/peer_codec.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>

/**
 * Prints the processor time of the entry side per query and the bytes of its
 * messages, by fan-out and number of owners.
 */
namespace {

using namespace cranberrywood;
using namespace std::chrono_literals;

constexpr std::uint32_t sub_requests_per_run = 400000;
constexpr std::uint32_t hits_per_reply = 10;

class all_rights : public rights_check
{
public:
    std::optional<error_detail> find_refusal(const request_rights&,
                                             service_id) const override
    {
        return std::nullopt;
    }
    bool leaves_out(workspace_id, service_id, shard_id) const override
    {
        return false;
    }
    bool may_run(workspace_id, service_id, shard_id,
                 backend_server_id) const override
    {
        return true;
    }
};

class no_strikes : public resend_policy
{
public:
    bool may_hedge(fingerprint, time_point) const override
    {
        return true;
    }
    bool may_retry(fingerprint, std::size_t, time_point) const override
    {
        return true;
    }
    void record_full_completion(fingerprint, outbox&) override {}
};

/** One entry VM whose owners answer every message at once. */
class entry_run
{
public:
    entry_run(std::uint32_t fan_out, std::uint32_t owners)
        : m_settings(settings_of(fan_out, owners)), m_roles(m_settings),
          m_queries({vm_id(1), incarnation(1), {}, "", {}}, m_random,
                    {m_roles, m_rights, m_strikes, m_latencies, m_budget,
                     m_replicas, m_pins})
    {
        m_queries.settings_changed(m_settings);
        for (const auto group : m_roles.map().groups()) {
            m_roles.update_believed_holder(
                group, m_roles.map().candidates(group).front());
        }
    }

    void query()
    {
        admitted_request request;
        request.token = caller_token(++m_token);
        request.rights.workspace = m_settings->all().workspaces.front().id;
        request.service = m_settings->all().services.front().id;
        request.arrived = m_now;
        request.deadline = m_now + 320ms;
        request.hit_limit = hits_per_reply;
        request.body = "pane 90x120 curb, low-e";
        m_queries.start(std::move(request), m_now, m_out);
        m_now += 5ms;
        for (auto& message : m_out.take_peer_messages()) {
            answer(message.to, std::get<owner_request>(message.body));
        }
        m_out.take_commands();
    }

    double bytes_per_message(std::uint64_t bytes) const
    {
        return static_cast<double>(bytes) / static_cast<double>(m_messages);
    }
    std::uint64_t messages() const
    {
        return m_messages;
    }
    std::uint64_t request_bytes() const
    {
        return m_request_bytes;
    }
    std::uint64_t reply_bytes() const
    {
        return m_reply_bytes;
    }
    void measure_bytes()
    {
        m_measure = true;
        query();
        m_measure = false;
    }

private:
    static std::shared_ptr<const settings_index>
    settings_of(std::uint32_t fan_out, std::uint32_t owners)
    {
        settings s = fakes::sample_settings({1, owners, fan_out, 1, 1});
        s.fleet.groups_per_data_centre = 2 * owners;
        return std::make_shared<const settings_index>(std::move(s));
    }

    void answer(vm_id owner, const owner_request& request)
    {
        owner_reply reply;
        reply.query = request.query;
        reply.index = request.index;
        for (const auto& ask : request.asks) {
            shard_result result;
            result.id = ask.id;
            result.shard = ask.shard;
            result.backend_server = ask.backend_server;
            result.outcome = shard_outcome::done;
            reply.results.push_back(result);
        }
        for (std::uint32_t i = 0; i < hits_per_reply; ++i) {
            reply.hits.push_back({std::to_string(++m_hit), 1.0, "low-e pane"});
        }
        if (m_measure) {
            ++m_messages;
            m_request_bytes += encoded(request);
            m_reply_bytes += encoded(reply);
        }
        m_queries.receive(owner, reply, m_now, m_out);
    }

    template <class Message>
    static std::size_t encoded(const Message& message)
    {
        return encode(peer_envelope{vm_id(1), incarnation(1), incarnation(2), 1,
                                    message})
            .size();
    }

    std::shared_ptr<const settings_index> m_settings;
    fakes::manual_role_view m_roles;
    all_rights m_rights;
    no_strikes m_strikes;
    latency_estimate m_latencies;
    extra_send_budget m_budget;
    replica_choice m_replicas{data_centre_id(1)};
    version_pins m_pins;
    seeded_random m_random{1};
    query_coordinator m_queries;
    outbox m_out;
    time_point m_now{1h};
    std::uint64_t m_token = 0;
    std::uint64_t m_hit = 0;
    bool m_measure = false;
    std::uint64_t m_messages = 0;
    std::uint64_t m_request_bytes = 0;
    std::uint64_t m_reply_bytes = 0;
};

void print_row(std::uint32_t fan_out, std::uint32_t owners)
{
    entry_run run(fan_out, owners);
    run.measure_bytes();
    const std::uint32_t queries = sub_requests_per_run / fan_out;
    const std::clock_t start = std::clock();
    for (std::uint32_t i = 0; i < queries; ++i) {
        run.query();
    }
    const double us = 1e6 * static_cast<double>(std::clock() - start) /
                      CLOCKS_PER_SEC / queries;
    std::printf("| %u | %llu | %.1f | %.3f | %.0f | %.0f |\n", fan_out,
                static_cast<unsigned long long>(run.messages()), us,
                us / fan_out, run.bytes_per_message(run.request_bytes()),
                run.bytes_per_message(run.reply_bytes()));
}

} // namespace

int main()
{
    std::puts("| fan-out | messages | us per query | us per sub-request | "
              "bytes per request | bytes per reply |");
    std::puts("|---|---|---|---|---|---|");
    print_row(25, 8);
    print_row(75, 8);
    print_row(350, 80);
    print_row(1400, 80);
    print_row(1400, 840);
}
