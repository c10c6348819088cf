#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_GATHER_DECISION_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_GATHER_DECISION_HPP

#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/** How far a request over several shards has come. */
struct gather_progress
{
    std::uint32_t shards = 0;
    std::uint32_t answered = 0;
    /** Shards that are given up. */
    std::uint32_t failed = 0;
    /** Shards that a success needs. */
    std::uint32_t required = 0;
    /** Time up to which waiting for more shards is worth more than it costs. */
    time_point answer_at;
    time_point deadline;
};

enum class gather_decision : std::uint8_t
{
    wait,
    /** Answer with the parts that are there. */
    answer,
    /** The least share cannot be had any more. */
    fail,
};

/** Returns the number of shards that the least share asks for, at least 1. */
std::uint32_t required_shards(std::uint32_t shards, double least_share);

/** Decides whether a request over several shards is answered now. */
gather_decision decide_gather(const gather_progress& progress, time_point now);

} // namespace cranberrywood

#endif
