#include "systems/queries/held_calls.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

/** One call: what it went through. */
struct call_row
{
    call_state state = call_state::sent;
    std::uint32_t lost = 0;
    bool held = false;
};

const call_row trial{call_state::sent, 1, false};
const call_row held{call_state::waiting, 1, true};
const call_row harmless{call_state::answered, 1, false};
const call_row untouched{call_state::answered, 0, false};
const call_row lost_twice{call_state::failed, 2, false};
const call_row lost_once{call_state::failed, 1, false};

open_request request_of(bool suspect, const std::vector<call_row>& rows)
{
    open_request request;
    request.suspect = suspect;
    std::uint64_t service = 0;
    for (const call_row& row : rows) {
        service_call call;
        call.service = service_id(++service);
        call.state = row.state;
        call.held = row.held;
        for (std::uint32_t i = 0; i < row.lost; ++i) {
            call_send send;
            send.open = false;
            send.lost = true;
            call.sends.push_back(send);
        }
        request.calls.push_back(call);
    }
    return request;
}

struct decision_row
{
    const char* name;
    bool suspect;
    bool still_suspect;
    std::vector<call_row> calls;
    held_decision expected;
};

} // namespace

TEST_GROUP(held_calls){};

TEST(held_calls, decisions)
{
    const decision_row rows[] = {
        {"none held", false, false, {trial, untouched}, held_decision::wait},
        {"trial under way", false, false, {trial, held}, held_decision::wait},
        {"trial completed",
         false,
         false,
         {harmless, held, held},
         held_decision::release_all},
        {"trial lost again",
         false,
         false,
         {lost_twice, held},
         held_decision::fail},
        {"trial found no server",
         false,
         false,
         {lost_once, held, held},
         held_decision::release_one},
        {"suspect lost its first server",
         true,
         true,
         {lost_once, held},
         held_decision::fail},
        {"suspect completed and is cleared",
         true,
         false,
         {untouched, held, held},
         held_decision::release_all},
        {"suspect completed one of its shards",
         true,
         true,
         {untouched, held, held},
         held_decision::release_one},
    };
    for (const decision_row& row : rows) {
        const open_request request = request_of(row.suspect, row.calls);
        if (decide_held(request, row.still_suspect) != row.expected) {
            FAIL(row.name);
        }
    }
}

TEST(held_calls, a_second_call_that_lost_its_server_waits_for_the_first)
{
    open_request request = request_of(false, {trial, trial, untouched});
    CHECK(must_hold_retry(request, 1));
    request.calls[0].state = call_state::answered;
    CHECK(!must_hold_retry(request, 1));
    CHECK(!must_hold_retry(request_of(false, {trial, untouched}), 0));
}

TEST(held_calls, a_suspect_is_tried_where_a_server_crashed)
{
    open_request request =
        request_of(true, {untouched, untouched, untouched, untouched});
    hold_all_but_one(request, [](service_id s) { return s == service_id(3); });
    CHECK(request.calls[0].held);
    CHECK(!request.calls[2].held);
    hold_all_but_one(request, [](service_id) { return false; });
    CHECK(!request.calls[0].held);
    CHECK(request.calls[2].held);
}
