#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"
#include "systems/servers/owner_dispatch.hpp"

#include <chrono>
#include <cstdio>

/** Prints the processor time of the owner side per query, by fan-out. */
namespace {

using namespace cranberrywood;
using namespace std::chrono_literals;

constexpr std::uint32_t sub_requests_per_run = 400000;

class no_rules : public send_gate
{
public:
    std::optional<shard_outcome> forbids(const owner_request& /*request*/,
                                         const shard_ask& /*ask*/,
                                         time_point /*now*/) const override
    {
        return std::nullopt;
    }
};

/** One owner of all backend servers, which answer at once. */
class owner_run
{
public:
    explicit owner_run(std::uint32_t fan_out)
        : m_settings(fakes::sample_index({1, 1, fan_out, 1, 8})),
          m_roles(m_settings), m_dispatch(m_roles, m_gate, m_random)
    {
        m_roles.hold_all_until(time_point::max());
        m_dispatch.settings_changed(m_settings, m_now, m_out);
        for (const auto& server : m_settings->all().backend_servers) {
            m_dispatch.start_owning(server.id, m_now, m_out);
            backend_hello hello;
            hello.server = incarnation(1);
            hello.oldest = hello.newest = index_version(1);
            m_dispatch.connected({server.id, hello}, m_now, m_out);
        }
        m_out.take_commands();
    }

    void query()
    {
        owner_request request;
        request.query = {incarnation(1), ++m_sequence};
        request.workspace = m_settings->all().workspaces.front().id;
        request.service = m_settings->all().services.front().id;
        request.index = index_version(1);
        request.time_left = 320ms;
        request.hit_limit = 10;
        request.body = "pane 90x120 curb, low-e";
        for (const auto& server : m_settings->all().backend_servers) {
            request.asks.push_back(
                {{incarnation(1), ++m_sequence}, server.shard, server.id});
        }
        m_dispatch.receive(vm_id(1), request, m_now, m_out);
        m_now += 1ms;
        for (const auto& c : m_out.take_commands()) {
            if (const auto* sent = std::get_if<send_to_backend>(&c)) {
                answer(*sent);
            }
        }
        m_dispatch.flush(m_now, m_out);
        m_replies += m_out.take_peer_messages().size();
        m_dispatch.take_completed();
    }

    std::size_t replies() const
    {
        return m_replies;
    }

private:
    void answer(const send_to_backend& sent)
    {
        backend_reply reply;
        reply.id = sent.request.id;
        reply.outcome = backend_outcome::done;
        reply.index = reply.oldest = reply.newest = index_version(1);
        reply.hits = {{"order-1", 1.0, "one hit"}, {"order-2", 0.5, "another"}};
        m_dispatch.replied({sent.backend_server, reply}, m_now, m_out);
    }

    std::shared_ptr<const settings_index> m_settings;
    fakes::manual_role_view m_roles;
    no_rules m_gate;
    seeded_random m_random{1};
    owner_dispatch m_dispatch;
    outbox m_out;
    time_point m_now{1h};
    std::uint64_t m_sequence = 0;
    std::size_t m_replies = 0;
};

} // namespace

int main()
{
    std::printf("| fan-out | us per query | us per sub-request |\n");
    std::printf("|---|---|---|\n");
    for (const std::uint32_t fan_out : {25U, 75U, 350U, 1400U}) {
        owner_run run(fan_out);
        const std::uint32_t queries = sub_requests_per_run / fan_out;
        const auto begin = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < queries; ++i) {
            run.query();
        }
        const std::chrono::duration<double, std::micro> spent =
            std::chrono::steady_clock::now() - begin;
        if (run.replies() != queries) {
            std::printf("replies are missing\n");
            return 1;
        }
        std::printf("| %u | %.1f | %.2f |\n", fan_out, spent.count() / queries,
                    spent.count() / queries / fan_out);
    }
    return 0;
}
