#ifndef CRANBERRYWOOD_TESTS_PROCESS_PLAY_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_PLAY_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberrywood::tests {

/** What a play is given. */
struct play_plan
{
    std::string program;
    std::string folder;
    std::uint32_t seed = 1;
    unsigned vms = 4;
    std::chrono::seconds length{30};
    /** Factor of the memory bounds; a sanitizer keeps memory of its own. */
    unsigned memory_factor = 1;
};

/** A promise that was broken, with what was seen. */
struct finding
{
    std::string rule;
    std::string seen;
};

/** What a play counted and found. */
struct play_report
{
    std::map<std::string, std::uint64_t> counts;
    std::vector<finding> findings;

    void check(bool kept, const std::string& rule, const std::string& seen)
    {
        if (!kept) {
            findings.push_back({rule, seen});
        }
    }
};

/** Stops VMs one after the other, also overlapping, while callers go on. */
play_report play_planned_stops(const play_plan& plan);
/** Restarts all VMs while entries of other writers stand in the store. */
play_report play_foreign_entries(const play_plan& plan);
/** Lets a service answer with heads that are not proper. */
play_report play_spoiled_heads(const play_plan& plan);
/** Lets callers hold memory and descriptors of a VM with small limits. */
play_report play_slow_callers(const play_plan& plan);

} // namespace cranberrywood::tests

#endif
