#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_RECORD_MERGE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_RECORD_MERGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberrywood {

/** Size of a record in bytes. Records are ordered by their bytes. */
constexpr std::size_t record_bytes = 16;

/**
 * Returns the greatest records of all parts in descending order. Duplicates are
 * kept; an incomplete record at the end of a part is ignored.
 */
std::string merge_records(const std::vector<std::string_view>& parts,
                          std::uint32_t max_records);

} // namespace cranberrywood

#endif
