#include "fakes/lookup_run.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace cranberrywood::fakes;

TEST_GROUP(lookup_runs){};

TEST(lookup_runs, no_id_runs_twice_and_not_run_is_true)
{
    std::size_t executed = 0;
    std::size_t not_run_answers = 0;
    std::size_t done_answers = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        lookup_run run(seed, {});
        run.run(5000);
        for (const auto& violation : run.violations) {
            FAIL((violation + ", seed " + std::to_string(seed)).c_str());
        }
        executed += run.executed;
        not_run_answers += run.not_run_answers;
        done_answers += run.done_answers;
    }
    CHECK(executed > 1000);
    CHECK(not_run_answers > 100);
    CHECK(done_answers > 1000);
}

TEST(lookup_runs, checker_finds_a_holder_that_skips_the_takeover_window)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fault_rates rates;
        rates.skip_takeover_window = true;
        lookup_run run(seed, rates);
        run.run(5000);
        found += run.violations.size();
    }
    CHECK(found > 0);
}
