#include "core/request_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

struct outcome_row
{
    gateway_answer answer;
    bool is_logged;
    const char* outcome;
};

relayed_answer relayed(unsigned status)
{
    return {"receipt", std::make_shared<const relayed_message>(
                           relayed_message{status, "", ""})};
}

} // namespace

TEST_GROUP(request_log){};

TEST(request_log, complete_answers_are_not_logged)
{
    const outcome_row table[] = {
        {relayed(200), false, "relayed_200"},
        {relayed(404), false, "relayed_404"},
        {relayed(500), true, "relayed_500"},
        {gathered_answer{{"r"}, 0, ""}, false, "missing_0"},
        {gathered_answer{{"r"}, 2, ""}, true, "missing_2"},
        {refused_answer{refusal_reason::no_server, 1s}, true, "no_server"},
        {failed_answer{failure_reason::timed_out}, true, "timed_out"},
    };
    for (const outcome_row& row : table) {
        CHECK(should_log_answer(row.answer) == row.is_logged);
        STRCMP_EQUAL(row.outcome, outcome_of(row.answer).c_str());
    }
}

TEST(request_log, describes_the_progress_of_a_request)
{
    const time_point start{1h};
    open_request request;
    auto outbound = std::make_shared<outbound_request>();
    outbound->id = "9c41";
    request.outbound = outbound;
    auto terms = std::make_shared<route>();
    terms->name = "search";
    terms->max_sends = 2;
    terms->repeatable = true;
    request.terms = terms;
    request.arrived = start;
    request.calls.resize(3);
    request.calls[0].state = call_state::answered;
    request.calls[0].sends.resize(2);
    request.calls[1].state = call_state::sent;
    request.calls[1].sends.resize(1);
    STRCMP_EQUAL("request=9c41 route=search age_ms=92 calls=3 answered=1 "
                 "waiting=1 sends=3 max_sends=2 repeatable=yes",
                 describe(request, start + 92ms).c_str());
}

TEST(request_log, names_the_calls_without_an_answer_and_their_sends)
{
    const time_point now{1h};
    const log_names names{
        [](service_id id) { return "svc" + std::to_string(id.value()); },
        [](backend_server_id id) { return "i-" + std::to_string(id.value()); }};
    open_request request;
    request.calls.resize(4);
    for (std::uint64_t i = 0; i < 4; ++i) {
        request.calls[i].service = service_id(i + 1);
    }
    request.calls[0].state = call_state::answered;
    call_send slow;
    slow.server = backend_server_id(7);
    slow.at = now - 92ms;
    call_send lost = slow;
    lost.server = backend_server_id(8);
    lost.at = now - 30ms;
    lost.open = false;
    lost.lost = true;
    request.calls[1].state = call_state::sent;
    request.calls[1].sends = {slow, lost};
    request.calls[2].state = call_state::failed;
    request.calls[3].held = true;
    STRCMP_EQUAL("svc2:sent[i-7@92open,i-8@30lost] svc3:failed[] svc4:held[]",
                 describe_unanswered(request, names, now).c_str());
    request.calls.resize(20);
    const std::string text = describe_unanswered(request, names, now);
    CHECK(text.size() < 200);
    STRCMP_EQUAL(" more", text.substr(text.size() - 5).c_str());
}
