#include "systems/members/grant_quorum.hpp"

#include <algorithm>
#include <functional>

namespace cranberrywood {

void grant_quorum::add(vm_id witness, time_point until, bool adopted)
{
    for (grant& g : m_grants) {
        if (g.witness == witness) {
            g.until = std::max(g.until, until);
            g.adopted = g.adopted || adopted;
            return;
        }
    }
    m_grants.push_back({witness, until, adopted});
}

time_point grant_quorum::expiry(const std::vector<vm_id>& set,
                                std::size_t needed) const
{
    std::vector<time_point> expiries;
    expiries.reserve(set.size());
    for (const vm_id witness : set) {
        if (const grant* g = find(witness)) {
            expiries.push_back(g->until);
        }
    }
    if (needed == 0 || expiries.size() < needed) {
        return time_point::min();
    }
    const auto last =
        expiries.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(expiries.begin(), last, expiries.end(), std::greater<>());
    return *last;
}

bool grant_quorum::has_adopted_majority(const std::vector<vm_id>& set,
                                        std::size_t needed,
                                        time_point now) const
{
    const auto adopted =
        std::count_if(set.begin(), set.end(), [&](vm_id witness) {
            const grant* g = find(witness);
            return g != nullptr && g->adopted && now < g->until;
        });
    return static_cast<std::size_t>(adopted) >= needed;
}

void grant_quorum::mark_outdated()
{
    for (grant& g : m_grants) {
        g.adopted = false;
    }
}

const std::vector<grant_quorum::grant>& grant_quorum::all() const
{
    return m_grants;
}

const grant_quorum::grant* grant_quorum::find(vm_id witness) const
{
    const auto found = std::find_if(
        m_grants.begin(), m_grants.end(),
        [witness](const grant& g) { return g.witness == witness; });
    return found == m_grants.end() ? nullptr : &*found;
}

} // namespace cranberrywood
