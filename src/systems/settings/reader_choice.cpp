#include "systems/settings/reader_choice.hpp"

#include <algorithm>
#include <unordered_set>

namespace cranberrywood {

namespace {

constexpr std::uint64_t reader_purpose = 3;

} // namespace

std::vector<vm_id> readers_of(const settings_index& settings,
                              data_centre_id data_centre,
                              const std::vector<listed_vm>& listed)
{
    std::unordered_set<vm_id> remaining;
    for (const auto& vm : listed) {
        if (!vm.leaving) {
            remaining.insert(vm.vm);
        }
    }
    const auto seed = stable_hash(data_centre.value(), reader_purpose);
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    for (const auto& vm : settings.all().vms) {
        const bool remains = listed.empty() || remaining.count(vm.id) != 0;
        if (vm.data_centre == data_centre && remains) {
            ranked.emplace_back(stable_hash(seed, vm.id.value()), vm.id);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    const std::size_t limit = settings.fleet().readers_per_data_centre;
    ranked.resize(std::min(ranked.size(), limit));
    std::vector<vm_id> readers;
    readers.reserve(ranked.size());
    for (const auto& [score, vm] : ranked) {
        readers.push_back(vm);
    }
    return readers;
}

} // namespace cranberrywood
