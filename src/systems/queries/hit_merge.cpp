#include "systems/queries/hit_merge.hpp"

#include <algorithm>
#include <iterator>

namespace cranberrywood {

namespace {

bool ranks_before(const hit& a, const hit& b)
{
    return a.score != b.score ? a.score > b.score : a.key < b.key;
}

} // namespace

// Hits with the same key have the same score within an index version, so
// duplicates are adjacent after sorting.
void merge_hits(std::vector<hit>& into, std::vector<hit> more,
                std::size_t limit)
{
    std::sort(more.begin(), more.end(), ranks_before);
    const bool full = into.size() >= limit;
    if (full && (more.empty() || !ranks_before(more.front(), into.back()))) {
        return;
    }
    const auto kept = static_cast<std::ptrdiff_t>(into.size());
    std::move(more.begin(), more.end(), std::back_inserter(into));
    std::inplace_merge(into.begin(), into.begin() + kept, into.end(),
                       ranks_before);
    const auto repeated = [](const hit& a, const hit& b) {
        return a.key == b.key;
    };
    into.erase(std::unique(into.begin(), into.end(), repeated), into.end());
    if (into.size() > limit) {
        into.resize(limit);
    }
}

} // namespace cranberrywood
