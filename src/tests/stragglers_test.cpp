#include "systems/queries/stragglers.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(stragglers)
{
    const time_point start{1h};
    const straggler_ages ages{20ms, 35ms};
    open_request request;
    route terms;

    void setup() override
    {
        terms.repeatable = true;
        terms.max_sends = 2;
        terms.target = gather_target{};
        request.deadline = start + 600ms;
        request.answer_at = start + 90ms;
        use_terms();
        for (std::uint64_t server = 1; server <= 3; ++server) {
            service_call call;
            call.state = call_state::sent;
            call.sends.push_back({exchange_id(server),
                                  backend_server_id(server), start, true, false,
                                  false, false});
            request.calls.push_back(call);
        }
    }
    void use_terms()
    {
        request.terms = std::make_shared<const route>(terms);
    }
    std::size_t hedges_at(duration age)
    {
        return calls_to_hedge(request, ages.hedge, start + age).size();
    }
};

TEST(stragglers, calls_are_hedged_from_the_hedge_age)
{
    CHECK_EQUAL(0, hedges_at(19ms));
    CHECK_EQUAL(3, hedges_at(20ms));
    request.calls[0].state = call_state::answered;
    request.calls[1].no_hedge_before = start + 30ms;
    CHECK_EQUAL(1, hedges_at(20ms));
    CHECK_EQUAL(2, calls_to_hedge(request, ages.hedge, start + 20ms)[0]);
    CHECK_EQUAL(2, hedges_at(30ms));
}

TEST(stragglers, a_late_hedge_is_hedged_again_up_to_the_limit_of_sends)
{
    service_call& call = request.calls[0];
    call.sends.push_back({exchange_id(9), backend_server_id(9), start + 20ms,
                          true, false, false, false});
    CHECK_EQUAL(2, hedges_at(39ms));
    CHECK_EQUAL(2, hedges_at(40ms));
    terms.max_sends = 3;
    use_terms();
    CHECK_EQUAL(2, hedges_at(39ms));
    CHECK_EQUAL(3, hedges_at(40ms));
}

TEST(stragglers, calls_that_may_not_be_resent_are_never_hedged)
{
    terms.repeatable = false;
    use_terms();
    CHECK_EQUAL(0, hedges_at(500ms));
    terms.repeatable = true;
    terms.max_sends = 1;
    use_terms();
    CHECK_EQUAL(0, hedges_at(500ms));
}

TEST(stragglers, a_late_send_makes_its_server_suspect_once)
{
    request.calls[0].sends[0].open = false;
    CHECK(take_late_sends(request, ages.suspicion, start + 34ms).empty());
    const auto late = take_late_sends(request, ages.suspicion, start + 35ms);
    CHECK_EQUAL(2, late.size());
    CHECK(late[0].server == backend_server_id(2));
    CHECK(late[0].sent_at == start);
    CHECK(take_late_sends(request, ages.suspicion, start + 50ms).empty());
}

TEST(stragglers, next_check_is_at_the_earliest_due_event)
{
    CHECK(next_check_time(request, ages, start) == start + 20ms);
    for (service_call& call : request.calls) {
        call.no_hedge_before = start + 1s;
    }
    CHECK(next_check_time(request, ages, start) == start + 35ms);
    take_late_sends(request, ages.suspicion, start + 35ms);
    CHECK(next_check_time(request, ages, start + 35ms) == request.answer_at);
    CHECK(next_check_time(request, ages, request.answer_at) ==
          request.deadline);
}
