#include "systems/hit_merge.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace cranberrywood {

namespace {

bool ranks_before(const hit& a, const hit& b)
{
    return a.score != b.score ? a.score > b.score : a.key < b.key;
}

} // namespace

void merge_hits(std::vector<hit>& into, std::vector<hit> more,
                std::size_t limit)
{
    std::move(more.begin(), more.end(), std::back_inserter(into));
    std::sort(into.begin(), into.end(), ranks_before);
    std::unordered_set<std::string> seen;
    const auto repeated = [&seen](const hit& h) {
        return !seen.insert(h.key).second;
    };
    into.erase(std::remove_if(into.begin(), into.end(), repeated), into.end());
    if (into.size() > limit) {
        into.resize(limit);
    }
}

} // namespace cranberrywood
