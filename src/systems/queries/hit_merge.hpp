#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_HIT_MERGE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_HIT_MERGE_HPP

#include "core/results.hpp"

namespace cranberrywood {

/**
 * Merges hits of the same index version and keeps the best ones: highest score
 * first, equal scores by key. Duplicate hits from several replicas are removed.
 */
void merge_hits(std::vector<hit>& into, std::vector<hit> more,
                std::size_t limit);

} // namespace cranberrywood

#endif
