#include "systems/members/grant_quorum.hpp"

#include <algorithm>
#include <functional>

namespace cranberrywood {

void grant_quorum::add(vm_id witness, time_point until, bool adopted)
{
    for (seat& s : m_seats) {
        if (s.witness == witness) {
            s.until = std::max(s.until, until);
            s.adopted = s.adopted || adopted;
            return;
        }
    }
    m_seats.push_back({witness, until, adopted});
}

time_point grant_quorum::majority_expiry(const std::vector<vm_id>& set,
                                         std::size_t needed) const
{
    std::vector<time_point> ends;
    ends.reserve(set.size());
    for (const vm_id witness : set) {
        if (const seat* s = find(witness)) {
            ends.push_back(s->until);
        }
    }
    if (needed == 0 || ends.size() < needed) {
        return time_point::min();
    }
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(ends.begin(), last, ends.end(), std::greater<>());
    return *last;
}

bool grant_quorum::has_adopted_majority(const std::vector<vm_id>& set,
                                        std::size_t needed,
                                        time_point now) const
{
    const auto adopted =
        std::count_if(set.begin(), set.end(), [&](vm_id witness) {
            const seat* s = find(witness);
            return s != nullptr && s->adopted && now < s->until;
        });
    return static_cast<std::size_t>(adopted) >= needed;
}

void grant_quorum::age()
{
    for (seat& s : m_seats) {
        s.adopted = false;
    }
}

const std::vector<grant_quorum::seat>& grant_quorum::seats() const
{
    return m_seats;
}

const grant_quorum::seat* grant_quorum::find(vm_id witness) const
{
    const auto found =
        std::find_if(m_seats.begin(), m_seats.end(),
                     [witness](const seat& s) { return s.witness == witness; });
    return found == m_seats.end() ? nullptr : &*found;
}

} // namespace cranberrywood
