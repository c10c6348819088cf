#include "systems/lookups/lookup_client.hpp"

#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(lookup_client)
{
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    fakes::manual_role_view roles{settings};
    node_identity self = {id_of<vm_id>("vm-0"), incarnation(5), {}, "", {}};
    lookup_client client{self, roles};
    vm_id first = id_of<vm_id>("vm-1");
    vm_id second = id_of<vm_id>("vm-2");
    outbox out;
    time_point t0 = time_point(seconds(100));

    void setup() override
    {
        roles.believe_all(first);
    }

    void start()
    {
        admitted_request request;
        request.token = caller_token(1);
        request.rights.workspace = id_of<workspace_id>("w0");
        request.service = id_of<service_id>("search");
        request.revision = revision_number(1);
        request.lookup = request_id_of(request.rights.workspace, "lot-7");
        request.deadline = t0 + milliseconds(600);
        client.start(request, t0, out);
    }

    std::vector<lookup_ask> asks()
    {
        std::vector<lookup_ask> list;
        for (auto& message : out.take_peer_messages()) {
            list.push_back(std::get<lookup_ask>(std::move(message.body)));
        }
        return list;
    }

    std::vector<response> answers()
    {
        std::vector<response> list;
        for (auto& c : out.take_commands()) {
            list.push_back(std::get<answer_caller>(std::move(c)).answer);
        }
        return list;
    }

    lookup_reply reply_to(const lookup_ask& ask, lookup_outcome outcome)
    {
        lookup_reply reply;
        reply.query = ask.query;
        reply.request = ask.request;
        reply.outcome = outcome;
        return reply;
    }
};

TEST(lookup_client, each_outcome_maps_to_its_answer)
{
    const std::vector<std::pair<lookup_outcome, std::size_t>> table = {
        {lookup_outcome::done, 0},
        {lookup_outcome::not_run, 1},
        {lookup_outcome::unknown, 2},
        {lookup_outcome::failed, 3},
    };
    for (const auto& [outcome, index] : table) {
        start();
        client.receive(first, reply_to(asks().at(0), outcome), t0, out);
        CHECK_EQUAL(index, answers().at(0).index());
        CHECK_EQUAL(0, client.in_flight());
    }
}

TEST(lookup_client, asks_another_vm_when_the_first_is_not_the_id_owner)
{
    start();
    client.receive(first, reply_to(asks().at(0), lookup_outcome::not_id_owner),
                   t0, out);
    roles.believe_all(second);
    client.tick(t0 + milliseconds(10), out);
    const auto again = asks().at(0);
    client.receive(second, reply_to(again, lookup_outcome::not_run),
                   t0 + milliseconds(20), out);
    CHECK(std::holds_alternative<not_run>(answers().at(0)));
}

TEST(lookup_client, not_run_is_not_answered_while_an_ask_is_unanswered)
{
    start();
    const auto lost = asks().at(0);
    client.tick(t0 + milliseconds(250), out);
    const auto resent = asks().at(0);
    CHECK(lost.request == resent.request);
    CHECK(lost.query != resent.query);
    client.receive(first, reply_to(resent, lookup_outcome::not_run),
                   t0 + milliseconds(260), out);
    CHECK_EQUAL(0, answers().size());
    client.tick(t0 + milliseconds(600), out);
    CHECK(std::holds_alternative<outcome_unknown>(answers().at(0)));
}

TEST(lookup_client, request_that_reached_no_id_owner_is_unknown)
{
    roles.believe_all(vm_id());
    start();
    CHECK_EQUAL(0, asks().size());
    client.tick(t0 + milliseconds(600), out);
    CHECK(std::holds_alternative<outcome_unknown>(answers().at(0)));
}

TEST(lookup_client, asks_the_successor_after_a_restart_of_the_id_owner)
{
    start();
    asks();
    client.peer_restarted(first, t0, out);
    roles.believe_all(second);
    client.tick(t0 + milliseconds(10), out);
    const auto again = asks().at(0);
    client.receive(second, reply_to(again, lookup_outcome::not_run), t0, out);
    CHECK_EQUAL(0, answers().size());
}

TEST(lookup_client, caller_is_answered_once)
{
    start();
    const auto ask = asks().at(0);
    client.receive(first, reply_to(ask, lookup_outcome::done), t0, out);
    client.receive(first, reply_to(ask, lookup_outcome::done), t0, out);
    CHECK_EQUAL(1, answers().size());
}

TEST(lookup_client, disconnected_caller_is_not_answered)
{
    start();
    const auto ask = asks().at(0);
    client.caller_gone(caller_token(1));
    client.receive(first, reply_to(ask, lookup_outcome::done), t0, out);
    CHECK_EQUAL(0, answers().size());
}
