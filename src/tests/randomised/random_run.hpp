#ifndef CRANBERRYWOOD_TESTS_RANDOMISED_RANDOM_RUN_HPP
#define CRANBERRYWOOD_TESTS_RANDOMISED_RANDOM_RUN_HPP

#include "randomised/trace_checker.hpp"

namespace cranberrywood::randomised {

/** Outcome of a randomised run. */
struct run_report
{
    std::uint64_t steps = 0;
    std::size_t requests = 0;
    std::size_t answered_whole = 0;
    std::size_t answered_partly = 0;
    std::size_t refused = 0;
    std::size_t unanswered = 0;
    std::size_t executions = 0;
    std::vector<std::string> broken;
    std::vector<std::string> log;
};

/**
 * Drives a fake fleet with random requests and faults until it has made a
 * number of steps, then heals it, waits, and checks the trace and that the
 * fleet serves again. Equal seeds and step counts give equal reports.
 */
run_report random_run(std::uint64_t seed, std::uint64_t steps);

} // namespace cranberrywood::randomised

#endif
