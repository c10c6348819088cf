#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_RECORD_MERGE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_RECORD_MERGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberrywood {

/** Size of one record in bytes; records compare byte by byte. */
constexpr std::size_t record_bytes = 16;

/**
 * Returns the greatest records of all parts, greatest first. Equal records
 * all count; what remains of a part behind its last whole record does not.
 */
std::string merge_records(const std::vector<std::string_view>& parts,
                          std::uint32_t most);

} // namespace cranberrywood

#endif
