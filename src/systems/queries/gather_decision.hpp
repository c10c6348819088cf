#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_GATHER_DECISION_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_GATHER_DECISION_HPP

#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/** Progress of a request that is fanned out to several shards. */
struct gather_progress
{
    std::uint32_t shards = 0;
    std::uint32_t answered = 0;
    /** Shards whose calls failed for good. */
    std::uint32_t failed = 0;
    /** Minimum number of answered shards for a successful answer. */
    std::uint32_t required = 0;
    /** Time from which an answer no longer waits for the remaining shards. */
    time_point answer_at;
    time_point deadline;
};

enum class gather_decision : std::uint8_t
{
    wait,
    /** Answer with the parts received so far. */
    answer,
    /** The required number of shards cannot be reached in time. */
    fail,
};

/** Returns the minimum number of shards for a required share; at least 1. */
std::uint32_t required_shards(std::uint32_t shards, double least_share);

/** Decides whether a fanned-out request waits, is answered or fails. */
gather_decision decide_gather(const gather_progress& progress, time_point now);

} // namespace cranberrywood

#endif
