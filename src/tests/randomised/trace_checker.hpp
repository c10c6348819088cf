#ifndef CRANBERRYWOOD_TESTS_RANDOMISED_TRACE_CHECKER_HPP
#define CRANBERRYWOOD_TESTS_RANDOMISED_TRACE_CHECKER_HPP

#include "fakes/fake_fleet.hpp"

namespace cranberrywood::randomised {

/** A span of time in which something must not be run. */
struct forbidden_span
{
    time_point from;
    time_point to;
    /** Workspace without a key; empty when the span is about a place. */
    std::string workspace;
    /** Data centre out of service; unset when the span is about a key. */
    data_centre_id data_centre;
};

/** What the checker has to know of a run besides its trace. */
struct run_facts
{
    fakes::sample_shape shape;
    std::vector<forbidden_span> forbidden;
    std::map<backend_server_id, data_centre_id> place_of;
};

/**
 * Compares what callers were told with what backend servers ran. Shares no
 * code with the nodes. Returns a line for each broken invariant.
 */
std::vector<std::string> check_trace(const fakes::fake_fleet& fleet,
                                     const run_facts& facts);

} // namespace cranberrywood::randomised

#endif
