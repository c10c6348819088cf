#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_HIT_MERGE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_HIT_MERGE_HPP

#include "core/results.hpp"

namespace cranberrywood {

/**
 * Merges hits of the same index version into others and keeps the best ones:
 * highest score first, equal scores by key. A hit that two replicas returned
 * counts once.
 */
void merge_hits(std::vector<hit>& into, std::vector<hit> more,
                std::size_t limit);

} // namespace cranberrywood

#endif
