#include "systems/lookups/id_records.hpp"

#include "fakes/manual_replica_picker.hpp"
#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(id_records)
{
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    fakes::manual_role_view roles{settings};
    fakes::manual_replica_picker picker;
    node_identity self;
    vm_id entry = id_of<vm_id>("vm-1");
    vm_id owner = id_of<vm_id>("vm-2");
    request_id id{7, 9};
    outbox out;
    time_point t0 = time_point(seconds(100));
    /** Time at which the group's records are complete. */
    time_point t1 = t0 + seconds(61);

    void setup() override
    {
        self.vm = id_of<vm_id>("vm-0");
        self.process = incarnation(5);
        roles.hold_all_until(t0 + seconds(1000));
        picker.add(1, owner);
        picker.add(2, owner);
    }

    std::unique_ptr<id_records> make()
    {
        auto records = std::make_unique<id_records>(self, roles, picker);
        records->settings_changed(settings);
        return records;
    }

    std::unique_ptr<id_records> started()
    {
        auto records = make();
        records->start(group(), t0);
        return records;
    }

    role_group_id group() const
    {
        return roles.map().id_group(id);
    }

    lookup_ask ask(std::uint64_t sequence) const
    {
        lookup_ask a;
        a.query = {incarnation(3), sequence};
        a.request = id;
        a.time_left = milliseconds(300);
        return a;
    }

    template <class Message>
    std::vector<Message> sent()
    {
        std::vector<Message> list;
        for (auto& message : out.take_peer_messages()) {
            list.push_back(std::get<Message>(std::move(message.body)));
        }
        return list;
    }

    owner_reply reply_to(const owner_request& request, shard_outcome outcome)
    {
        owner_reply reply;
        reply.query = request.query;
        shard_result result;
        result.id = request.asks.at(0).id;
        result.outcome = outcome;
        reply.results = {result};
        reply.hits = {{"lot-7", 1.0, "marked"}};
        return reply;
    }

    /** Starts the request and returns what was sent to the owner. */
    owner_request run(id_records & records, time_point now)
    {
        records.receive(entry, ask(1), now, out);
        return sent<owner_request>().at(0);
    }

    lookup_outcome outcome_of_resend(id_records & records, time_point now)
    {
        records.receive(entry, ask(2), now, out);
        return sent<lookup_reply>().at(0).outcome;
    }
};

TEST(id_records, sends_once_and_answers_a_resend_from_the_record)
{
    auto records = started();
    const auto request = run(*records, t1);
    CHECK_FALSE(request.repeatable);
    CHECK(records->owns(request.query));
    records->receive(owner, reply_to(request, shard_outcome::done), t1, out);
    const auto reply = sent<lookup_reply>().at(0);
    CHECK(reply.outcome == lookup_outcome::done);
    CHECK(reply.covers.whole());
    records->receive(entry, ask(2), t1 + seconds(30), out);
    const auto again = sent<lookup_reply>().at(0);
    CHECK_EQUAL(2, again.query.sequence);
    CHECK_EQUAL(1, again.hits.size());
}

TEST(id_records, resend_waits_for_the_running_request)
{
    auto records = started();
    const auto request = run(*records, t1);
    records->receive(entry, ask(2), t1, out);
    CHECK_EQUAL(0, out.take_peer_messages().size());
    records->receive(owner, reply_to(request, shard_outcome::done), t1, out);
    CHECK_EQUAL(2, sent<lookup_reply>().size());
}

TEST(id_records, vm_that_does_not_hold_the_group_runs_nothing)
{
    auto records = started();
    roles.hold_all_until(t1);
    CHECK(outcome_of_resend(*records, t1) == lookup_outcome::not_id_owner);
    auto never_started = make();
    CHECK(outcome_of_resend(*never_started, t0) ==
          lookup_outcome::not_id_owner);
}

TEST(id_records, new_holder_answers_unknown_for_the_resend_window)
{
    auto records = started();
    records->receive(entry, ask(1), t0 + seconds(59), out);
    const auto reply = sent<lookup_reply>().at(0);
    CHECK(reply.outcome == lookup_outcome::unknown);
    CHECK(reply.error.why == reason::id_unknown_after_takeover);
    CHECK(outcome_of_resend(*records, t1) == lookup_outcome::unknown);
}

TEST(id_records, retries_on_another_server_after_proof_that_nothing_started)
{
    auto records = started();
    const auto first = run(*records, t1);
    records->receive(owner, reply_to(first, shard_outcome::shed), t1, out);
    const auto second = sent<owner_request>().at(0);
    CHECK(second.asks.at(0).backend_server == backend_server_id(2));
    records->receive(owner, reply_to(second, shard_outcome::shed), t1, out);
    CHECK(sent<lookup_reply>().at(0).outcome == lookup_outcome::not_run);
}

TEST(id_records, no_second_send_without_proof)
{
    for (const auto outcome : {shard_outcome::failed, shard_outcome::unknown}) {
        auto records = started();
        const auto request = run(*records, t1);
        records->receive(owner, reply_to(request, outcome), t1, out);
        const auto reply = sent<lookup_reply>().at(0);
        CHECK(reply.outcome == (outcome == shard_outcome::failed
                                    ? lookup_outcome::failed
                                    : lookup_outcome::unknown));
        CHECK(outcome_of_resend(*records, t1) == reply.outcome);
    }
}

TEST(id_records, refusal_is_final_while_its_asker_may_forward_it)
{
    auto records = started();
    picker.targets.clear();
    records->receive(entry, ask(1), t1, out);
    CHECK(sent<lookup_reply>().at(0).outcome == lookup_outcome::not_run);
    picker.add(1, owner);
    const time_point soon = t1 + milliseconds(200);
    CHECK(outcome_of_resend(*records, soon) == lookup_outcome::not_run);
    records->receive(entry, ask(3), soon + milliseconds(301), out);
    CHECK_EQUAL(1, sent<owner_request>().size());
}

TEST(id_records, unanswered_request_ends_as_unknown_and_a_late_result_is_kept)
{
    auto records = started();
    const auto request = run(*records, t1);
    records->tick(t1 + milliseconds(301), out);
    CHECK(sent<lookup_reply>().at(0).outcome == lookup_outcome::unknown);
    records->receive(owner, reply_to(request, shard_outcome::done),
                     t1 + seconds(1), out);
    CHECK(outcome_of_resend(*records, t1 + seconds(1)) == lookup_outcome::done);
}

TEST(id_records, restart_of_the_server_owner_ends_as_unknown)
{
    auto records = started();
    run(*records, t1);
    records->peer_restarted(owner, out);
    CHECK(sent<lookup_reply>().at(0).outcome == lookup_outcome::unknown);
    CHECK_EQUAL(0, records->in_flight());
}

TEST(id_records, reply_of_a_vm_that_was_not_asked_is_dropped)
{
    auto records = started();
    const auto request = run(*records, t1);
    records->receive(entry, reply_to(request, shard_outcome::shed), t1, out);
    CHECK_EQUAL(0, out.take_peer_messages().size());
}

TEST(id_records, full_table_refuses_new_ids_and_evicts_none)
{
    auto records = started();
    const auto request = run(*records, t1);
    records->receive(owner, reply_to(request, shard_outcome::done), t1, out);
    sent<lookup_reply>();
    std::uint64_t low = 0;
    std::size_t refused = 0;
    while (refused == 0) {
        auto other = ask(1);
        other.request = {1, ++low};
        if (roles.map().id_group(other.request) != group()) {
            continue;
        }
        records->receive(entry, other, t1, out);
        for (const auto& message : out.take_peer_messages()) {
            const auto* reply = std::get_if<lookup_reply>(&message.body);
            if (reply != nullptr) {
                CHECK(reply->outcome == lookup_outcome::not_run);
                CHECK(reply->error.why == reason::overloaded);
                ++refused;
            }
        }
    }
    CHECK(outcome_of_resend(*records, t1) == lookup_outcome::done);
}

TEST(id_records, records_expire_after_the_resend_window)
{
    auto records = started();
    const auto request = run(*records, t1);
    records->receive(owner, reply_to(request, shard_outcome::done), t1, out);
    records->tick(t1 + seconds(62), out);
    CHECK_EQUAL(0, records->size());
}

TEST(id_records, drained_group_is_handed_over_with_complete_records)
{
    auto first = started();
    const auto request = run(*first, t1);
    first->drain(group());
    CHECK_FALSE(first->drained(group()));
    first->receive(owner, reply_to(request, shard_outcome::done), t1, out);
    CHECK(first->drained(group()));
    sent<lookup_reply>();
    const auto parts = first->hand_over(group(), t1);
    auto second = make();
    for (const auto& part : parts) {
        second->receive_handover(part, t1);
    }
    second->start(group(), t1 + seconds(1));
    CHECK(outcome_of_resend(*second, t1 + seconds(1)) == lookup_outcome::done);
    auto fresh = ask(1);
    fresh.request = {1, 1};
    while (roles.map().id_group(fresh.request) != group()) {
        fresh.request.low += 1;
    }
    second->receive(entry, fresh, t1 + seconds(1), out);
    CHECK_EQUAL(1, sent<owner_request>().size());
    CHECK(outcome_of_resend(*first, t1) == lookup_outcome::not_id_owner);
}

TEST(id_records, hand_over_that_lacks_a_part_is_not_used)
{
    auto records = make();
    record_handover part;
    part.group = group();
    part.number = 4;
    part.parts = 2;
    part.complete_for = seconds(100);
    records->receive_handover(part, t1);
    records->receive_handover(part, t1);
    records->start(group(), t1);
    CHECK(outcome_of_resend(*records, t1) == lookup_outcome::unknown);
}

TEST(id_records, parts_of_two_hand_overs_are_not_combined)
{
    auto records = make();
    record_handover part;
    part.group = group();
    part.number = 4;
    part.parts = 2;
    part.complete_for = seconds(100);
    records->receive_handover(part, t1);
    part.number = 5;
    part.part = 1;
    records->receive_handover(part, t1);
    records->start(group(), t1);
    CHECK(outcome_of_resend(*records, t1) == lookup_outcome::unknown);
}

TEST(id_records, hand_over_is_used_once)
{
    auto records = make();
    record_handover part;
    part.group = group();
    part.parts = 1;
    part.complete_for = seconds(100);
    records->receive_handover(part, t1);
    records->start(group(), t1);
    records->stop(group());
    records->start(group(), t1);
    CHECK(outcome_of_resend(*records, t1) == lookup_outcome::unknown);
}

TEST(id_records, hand_over_that_waited_through_a_pause_is_dropped)
{
    auto records = make();
    records->tick(t1, out);
    record_handover part;
    part.group = group();
    part.parts = 1;
    part.complete_for = seconds(100);
    records->receive_handover(part, t1 + seconds(70));
    records->tick(t1 + seconds(70), out);
    records->start(group(), t1 + seconds(70));
    CHECK(outcome_of_resend(*records, t1 + seconds(70)) ==
          lookup_outcome::unknown);
}
