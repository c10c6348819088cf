#include "systems/servers/owner_dispatch.hpp"

#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

class settable_gate : public send_gate
{
public:
    std::optional<shard_outcome> forbids(const owner_request& /*request*/,
                                         const shard_ask& /*ask*/,
                                         time_point /*now*/) const override
    {
        return forbidden;
    }
    std::optional<shard_outcome> forbidden;
};

template <class Message>
std::vector<Message> all_of(const commands& issued)
{
    std::vector<Message> found;
    for (const auto& c : issued) {
        if (const auto* message = std::get_if<Message>(&c)) {
            found.push_back(*message);
        }
    }
    return found;
}

} // namespace

TEST_GROUP(owner_dispatch)
{
    time_point now{1h};
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    fakes::manual_role_view roles{settings};
    settable_gate gate;
    seeded_random random{7};
    owner_dispatch dispatch{roles, gate, random};
    outbox out;
    const vm_id entry{99};
    const backend_server_id server = id_of<backend_server_id>("s0-r0");
    std::uint64_t next_id = 0;

    void setup() override
    {
        roles.hold_all_until(time_point::max());
        dispatch.settings_changed(settings, now, out);
        dispatch.start_owning(server, now, out);
    }

    void connect(std::uint64_t process)
    {
        backend_hello hello;
        hello.server = incarnation(process);
        hello.oldest = index_version(1);
        hello.newest = index_version(1);
        dispatch.connected({server, hello}, now, out);
    }

    owner_request request(int asks)
    {
        owner_request r;
        r.query = {incarnation(5), ++next_id};
        r.workspace = id_of<workspace_id>("w0");
        r.service = id_of<service_id>("search");
        r.index = index_version(1);
        r.map = shard_map_version(1);
        r.time_left = 300ms;
        r.hit_limit = 10;
        r.print = fingerprint(next_id);
        for (int i = 0; i < asks; ++i) {
            shard_ask ask;
            ask.id = {incarnation(5), ++next_id};
            ask.shard = shard_id_of("search", "s0");
            ask.backend_server = server;
            r.asks.push_back(ask);
        }
        return r;
    }

    void reply(sub_request_id id, backend_outcome outcome,
               std::uint64_t index = 1, std::vector<hit> hits = {})
    {
        backend_reply r;
        r.id = id;
        r.outcome = outcome;
        r.index = index_version(index);
        r.oldest = index_version(1);
        r.newest = index_version(index);
        r.hits = std::move(hits);
        dispatch.replied({server, r}, now, out);
    }

    std::vector<send_to_backend> sends()
    {
        return all_of<send_to_backend>(out.take_commands());
    }

    std::vector<owner_reply> replies()
    {
        dispatch.flush(now, out);
        std::vector<owner_reply> found;
        for (auto& message : out.take_peer_messages()) {
            found.push_back(std::get<owner_reply>(message.body));
        }
        return found;
    }

    shard_outcome only_outcome()
    {
        const auto found = replies();
        CHECK_EQUAL(1, found.size());
        CHECK_EQUAL(1, found.front().results.size());
        return found.front().results.front().outcome;
    }
};

TEST(owner_dispatch, sub_requests_wait_for_the_first_link)
{
    dispatch.receive(entry, request(1), now, out);
    CHECK(sends().empty());
    connect(1);
    CHECK_EQUAL(1, sends().size());
}

TEST(owner_dispatch, cold_server_gets_no_more_than_its_cold_limit)
{
    connect(1);
    dispatch.receive(entry, request(5), now, out);
    const auto sent = sends();
    CHECK_EQUAL(1, sent.size());
    reply(sent.front().request.id, backend_outcome::done);
    CHECK_EQUAL(1, sends().size());
}

TEST(owner_dispatch, sends_nothing_without_the_lease)
{
    connect(1);
    roles.hold_all_until(now);
    roles.believe_all(vm_id(42));
    dispatch.receive(entry, request(1), now, out);
    CHECK(sends().empty());
    const auto found = replies();
    CHECK(found.front().results.front().outcome == shard_outcome::not_owner);
    CHECK(found.front().results.front().owner_hint == vm_id(42));
}

TEST(owner_dispatch, lease_is_checked_again_at_the_send)
{
    connect(1);
    dispatch.receive(entry, request(2), now, out);
    const auto sent = sends();
    roles.hold_all_until(now);
    reply(sent.front().request.id, backend_outcome::done);
    CHECK(sends().empty());
    const auto found = replies();
    CHECK(found.front().results.back().outcome == shard_outcome::not_owner);
}

TEST(owner_dispatch, rule_is_checked_again_at_the_send)
{
    dispatch.receive(entry, request(1), now, out);
    gate.forbidden = shard_outcome::rule_refused;
    connect(1);
    CHECK(sends().empty());
    CHECK(only_outcome() == shard_outcome::rule_refused);
}

TEST(owner_dispatch, request_at_a_cold_server_ends_before_the_lease)
{
    connect(1);
    roles.hold_all_until(now + 300ms);
    dispatch.receive(entry, request(1), now, out);
    CHECK(sends().front().request.time_left == 100ms);
}

TEST(owner_dispatch, repeated_sub_request_is_not_run_again)
{
    connect(1);
    auto r = request(1);
    r.repeatable = false;
    dispatch.receive(entry, r, now, out);
    const auto sent = sends();
    reply(sent.front().request.id, backend_outcome::done);
    dispatch.receive(entry, r, now, out);
    CHECK(sends().empty());
    CHECK_EQUAL(1, dispatch.counts().repeated_asks);
}

TEST(owner_dispatch, reply_of_another_version_is_not_merged)
{
    connect(1);
    dispatch.receive(entry, request(1), now, out);
    reply(sends().front().request.id, backend_outcome::done, 2,
          {{"key", 1.0, "text"}});
    const auto found = replies();
    CHECK(found.front().hits.empty());
    CHECK(found.front().results.front().outcome == shard_outcome::failed);
    CHECK(found.front().versions.front().newest == index_version(2));
}

TEST(owner_dispatch, merges_the_best_hits_of_a_batch)
{
    connect(1);
    auto r = request(2);
    r.hit_limit = 2;
    dispatch.receive(entry, r, now, out);
    reply(r.asks[0].id, backend_outcome::done, 1,
          {{"a", 1.0, ""}, {"b", 3.0, ""}});
    reply(r.asks[1].id, backend_outcome::done, 1, {{"c", 2.0, ""}});
    const auto found = replies();
    CHECK_EQUAL(1, found.size());
    CHECK_EQUAL(2, found.front().results.size());
    CHECK_EQUAL(2, found.front().hits.size());
    CHECK(found.front().hits[0].key == "b");
    CHECK(found.front().hits[1].key == "c");
}

TEST(owner_dispatch, unmatched_and_repeated_replies_are_dropped)
{
    connect(1);
    auto r = request(1);
    dispatch.receive(entry, r, now, out);
    reply({incarnation(6), 1}, backend_outcome::done);
    reply(r.asks[0].id, backend_outcome::done);
    reply(r.asks[0].id, backend_outcome::done);
    CHECK_EQUAL(2, dispatch.counts().unmatched_replies);
    CHECK(only_outcome() == shard_outcome::done);
}

TEST(owner_dispatch, lost_link_ends_sent_as_unknown_and_queued_as_shed)
{
    connect(1);
    auto r = request(2);
    r.repeatable = false;
    dispatch.receive(entry, r, now, out);
    dispatch.lost({server, true}, now, out);
    const auto found = replies();
    CHECK(found.front().results[0].outcome == shard_outcome::unknown);
    CHECK(found.front().results[1].outcome == shard_outcome::shed);
    out.take_commands();
    now += 10s;
    dispatch.tick(now, out);
    connect(2);
    CHECK(sends().empty());
}

TEST(owner_dispatch, lost_link_frees_no_room_at_the_same_process)
{
    connect(1);
    dispatch.receive(entry, request(1), now, out);
    dispatch.lost({server, true}, now, out);
    now += 200ms;
    dispatch.tick(now, out);
    connect(1);
    out.take_commands();
    dispatch.receive(entry, request(1), now, out);
    CHECK(sends().empty());
    now += 101ms;
    dispatch.tick(now, out);
    CHECK_EQUAL(1, sends().size());
}

TEST(owner_dispatch, lost_link_frees_room_at_a_new_process)
{
    connect(1);
    dispatch.receive(entry, request(1), now, out);
    dispatch.lost({server, true}, now, out);
    now += 200ms;
    dispatch.tick(now, out);
    connect(2);
    out.take_commands();
    dispatch.receive(entry, request(1), now, out);
    CHECK_EQUAL(1, sends().size());
}

TEST(owner_dispatch, reports_the_requests_in_flight_at_a_suspected_crash)
{
    connect(1);
    const auto r = request(1);
    dispatch.receive(entry, r, now, out);
    dispatch.lost({server, true}, now, out);
    const auto crashes = dispatch.take_suspected_crashes();
    CHECK_EQUAL(1, crashes.size());
    CHECK_EQUAL(1, crashes.front().in_flight.size());
    CHECK(crashes.front().in_flight.front().print == r.print);
    CHECK(crashes.front().in_flight.front().entry == entry);
    now += 10s;
    dispatch.tick(now, out);
    connect(1);
    CHECK_EQUAL(1, dispatch.take_refuted_crashes().size());
}

TEST(owner_dispatch, reopens_a_lost_link_after_a_delay)
{
    dispatch.lost({server, false}, now, out);
    out.take_commands();
    dispatch.tick(now, out);
    CHECK(all_of<open_backend>(out.take_commands()).empty());
    now += 100ms;
    dispatch.tick(now, out);
    CHECK_EQUAL(1, all_of<open_backend>(out.take_commands()).size());
}

TEST(owner_dispatch, server_taken_out_of_service_gets_no_new_requests)
{
    connect(1);
    dispatch.receive(entry, request(2), now, out);
    const auto sent = sends();
    auto changed = fakes::sample_settings();
    changed.data_centres[0].in_service = false;
    dispatch.settings_changed(std::make_shared<settings_index>(changed), now,
                              out);
    CHECK(only_outcome() == shard_outcome::out_of_service);
    reply(sent.front().request.id, backend_outcome::done);
    CHECK(only_outcome() == shard_outcome::done);
    dispatch.receive(entry, request(1), now, out);
    CHECK(sends().empty());
}

TEST(owner_dispatch, cancel_reaches_queued_and_running_sub_requests)
{
    connect(1);
    auto r = request(2);
    dispatch.receive(entry, r, now, out);
    out.take_commands();
    dispatch.receive(entry, owner_cancel{r.query, {}}, now, out);
    CHECK_EQUAL(1, all_of<cancel_at_backend>(out.take_commands()).size());
    CHECK(only_outcome() == shard_outcome::cancelled);
}

TEST(owner_dispatch, running_non_repeatable_request_is_not_cancelled)
{
    connect(1);
    auto r = request(1);
    r.repeatable = false;
    dispatch.receive(entry, r, now, out);
    out.take_commands();
    dispatch.receive(entry, owner_cancel{r.query, {}}, now, out);
    CHECK(all_of<cancel_at_backend>(out.take_commands()).empty());
}

TEST(owner_dispatch,
     overdue_request_occupies_the_window_until_the_server_answers)
{
    connect(1);
    auto r = request(1);
    dispatch.receive(entry, r, now, out);
    now += 301ms;
    dispatch.tick(now, out);
    CHECK(only_outcome() == shard_outcome::unknown);
    out.take_commands();
    dispatch.receive(entry, request(1), now, out);
    CHECK(sends().empty());
    reply(r.asks[0].id, backend_outcome::cancelled);
    CHECK_EQUAL(1, sends().size());
}

TEST(owner_dispatch, unresponsive_server_is_reset)
{
    connect(1);
    dispatch.receive(entry, request(1), now, out);
    out.take_commands();
    now += 5s;
    dispatch.tick(now, out);
    CHECK_EQUAL(1, all_of<close_backend>(out.take_commands()).size());
}

TEST(owner_dispatch, drained_server_finishes_queued_requests)
{
    connect(1);
    auto r = request(2);
    dispatch.receive(entry, r, now, out);
    dispatch.drain(server);
    dispatch.receive(entry, request(1), now, out);
    CHECK(only_outcome() == shard_outcome::shed);
    CHECK_FALSE(dispatch.idle(server));
    reply(r.asks[0].id, backend_outcome::done);
    reply(r.asks[1].id, backend_outcome::done);
    CHECK(dispatch.idle(server));
}

TEST(owner_dispatch, link_closes_when_the_role_is_lost_and_nothing_is_in_flight)
{
    connect(1);
    auto r = request(1);
    dispatch.receive(entry, r, now, out);
    out.take_commands();
    dispatch.stop_owning(server, now, out);
    CHECK(all_of<close_backend>(out.take_commands()).empty());
    reply(r.asks[0].id, backend_outcome::done);
    dispatch.tick(now, out);
    CHECK_EQUAL(1, all_of<close_backend>(out.take_commands()).size());
    CHECK(only_outcome() == shard_outcome::done);
}

TEST(owner_dispatch, draining_server_gets_no_new_requests)
{
    connect(1);
    auto r = request(2);
    dispatch.receive(entry, r, now, out);
    sends();
    reply(r.asks[0].id, backend_outcome::draining);
    CHECK(sends().empty());
    const auto found = replies();
    CHECK_EQUAL(2, found.front().results.size());
    CHECK(found.front().results[1].outcome == shard_outcome::out_of_service);
}

TEST(owner_dispatch, removes_the_records_of_ended_queries)
{
    connect(1);
    for (int i = 0; i < 100; ++i) {
        auto r = request(1);
        dispatch.receive(entry, r, now, out);
        reply(r.asks[0].id, backend_outcome::done);
        replies();
    }
    CHECK_EQUAL(0, dispatch.open_queries());
}
