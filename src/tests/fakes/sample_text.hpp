#ifndef CRANBERRYWOOD_TESTS_FAKES_SAMPLE_TEXT_HPP
#define CRANBERRYWOOD_TESTS_FAKES_SAMPLE_TEXT_HPP

#include "fakes/sample_settings.hpp"
#include "settings/published_value.hpp"

namespace cranberrywood::fakes {

/** What an operator edits in the sample fleet. */
struct sample_edits
{
    /** Data centre that is taken out of service; none when negative. */
    int data_centre_out = -1;
    /** Workspace whose key is withdrawn; none when negative. */
    int withdrawn = -1;
    std::uint64_t index = 1;
    /** Further sections, as text. */
    std::string more;
};

/**
 * Writes the sample fleet as a base file: like sample_settings, but backend
 * servers are named "search-s0-r0"… and stand as the file format spreads them.
 */
published_value sample_value(revision_number revision,
                             const sample_shape& shape = {},
                             const sample_edits& edits = {});

} // namespace cranberrywood::fakes

#endif
