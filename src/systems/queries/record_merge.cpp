#include "systems/queries/record_merge.hpp"

#include <algorithm>

namespace cranberrywood {

std::string merge_records(const std::vector<std::string_view>& parts,
                          std::uint32_t max_records)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        const std::size_t count = part.size() / record_bytes;
        for (std::size_t i = 0; i < count; ++i) {
            records.push_back(part.substr(i * record_bytes, record_bytes));
        }
    }
    const std::size_t kept = std::min<std::size_t>(max_records, records.size());
    // std::string_view compares bytes as unsigned values.
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (std::size_t i = 0; i < kept; ++i) {
        merged.append(records[i]);
    }
    return merged;
}

} // namespace cranberrywood
