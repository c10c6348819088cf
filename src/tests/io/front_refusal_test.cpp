#include "io/response_json.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace cranberrywood;

namespace {

struct refusal_row
{
    std::optional<request_kind> kind;
    reason why;
    const char* outcome;
};

} // namespace

TEST_GROUP(front_refusal){};

// A lookup that is resent under its id through another VM may have run
// there, so the front of this VM cannot say that it has not.
TEST(front_refusal, only_a_query_is_told_that_it_has_not_run)
{
    const refusal_row table[] = {
        {request_kind::query, reason::overloaded, "not_run"},
        {request_kind::query, reason::malformed, "not_run"},
        {request_kind::lookup, reason::overloaded, "outcome_unknown"},
        {request_kind::lookup, reason::malformed, "outcome_unknown"},
        {std::nullopt, reason::overloaded, "outcome_unknown"},
        {std::nullopt, reason::malformed, "outcome_unknown"},
    };
    for (const refusal_row& row : table) {
        const http_answer refusal =
            refusal_at_front(status_of(row.why), row.why, "", "", row.kind);
        STRCMP_EQUAL(row.outcome, refusal.outcome.c_str());
        const auto body = nlohmann::json::parse(refusal.json);
        CHECK(body["outcome"] == row.outcome);
        CHECK_EQUAL(status_of(row.why), refusal.status);
    }
}

TEST(front_refusal, the_target_tells_the_kind)
{
    CHECK(kind_of_target("/v1/query") == request_kind::query);
    CHECK(kind_of_target("/v1/lookup") == request_kind::lookup);
    CHECK(!kind_of_target("/v1/lookups"));
    CHECK(!kind_of_target(""));
}
