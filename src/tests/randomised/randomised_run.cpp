#include "randomised/random_run.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

/** Log lines that are printed of a run that broke an invariant. */
constexpr std::size_t printed_log_lines = 2000;

void print(std::uint64_t seed, const cranberrywood::randomised::run_report& r)
{
    std::cout << "seed " << seed << ": " << r.steps << " steps, " << r.requests
              << " requests, " << r.answered_whole << " whole, "
              << r.answered_partly << " partial, " << r.refused << " refused, "
              << r.unanswered << " unanswered, " << r.executions
              << " executions, " << r.broken.size() << " broken\n";
    for (const auto& line : r.broken) {
        std::cout << "  BROKEN " << line << '\n';
    }
    if (r.broken.empty()) {
        return;
    }
    const std::size_t skip =
        r.log.size() > printed_log_lines ? r.log.size() - printed_log_lines : 0;
    for (std::size_t i = skip; i < r.log.size(); ++i) {
        std::cout << "  " << r.log[i] << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Randomised runs of several nodes with faults.");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "First seed", false, 1,
                                        "number", line);
    TCLAP::ValueArg<std::uint64_t> seeds("n", "seeds", "Number of seeds", false,
                                         1, "number", line);
    TCLAP::ValueArg<std::uint64_t> steps("t", "steps", "Steps per seed", false,
                                         100000, "number", line);
    line.parse(argc, argv);
    std::size_t broken = 0;
    for (std::uint64_t i = 0; i < seeds.getValue(); ++i) {
        const std::uint64_t one = seed.getValue() + i;
        const auto report =
            cranberrywood::randomised::random_run(one, steps.getValue());
        print(one, report);
        broken += report.broken.empty() ? 0 : 1;
    }
    std::cout << seeds.getValue() - broken << " passed, " << broken
              << " failed\n";
    return broken == 0 ? 0 : 1;
}
