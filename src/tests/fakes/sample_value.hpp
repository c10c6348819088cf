#ifndef CRANBERRYWOOD_TESTS_FAKES_SAMPLE_VALUE_HPP
#define CRANBERRYWOOD_TESTS_FAKES_SAMPLE_VALUE_HPP

#include "settings/published_value.hpp"

namespace cranberrywood::fakes {

/**
 * Builds a small published value that is accepted: data centres "north" and
 * "south" at the sites of their names, VMs "vm-0" to "vm-3", service
 * "search" of 4 shards and 2 replicas, service "notes" of one explicit
 * shard and backend server, workspaces "w0" and "w1", one rule.
 */
published_value sample_value();

/** Returns the value with a part of its base replaced; must be in it. */
published_value with_base_edit(const std::string& find,
                               const std::string& replacement);

/** Returns the value with text added to the overlay of site "north". */
published_value with_overlay_text(const std::string& text);

} // namespace cranberrywood::fakes

#endif
