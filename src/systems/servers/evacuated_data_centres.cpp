#include "systems/servers/evacuated_data_centres.hpp"

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time after a restore in which operators write again what was lost. */
constexpr duration rewrite_period = 2200ms;

} // namespace

void evacuated_data_centres::listed(
    const std::vector<data_centre_id>& data_centres, time_point now)
{
    std::set<data_centre_id> before(data_centres.begin(), data_centres.end());
    before.swap(m_listed);
    for (auto it = m_retained.begin(); it != m_retained.end();) {
        it = now >= it->second ? m_retained.erase(it) : std::next(it);
    }
    if (now >= m_rewritten_by) {
        return;
    }
    for (const data_centre_id data_centre : before) {
        if (m_listed.count(data_centre) == 0) {
            m_retained[data_centre] = m_rewritten_by;
        }
    }
}

void evacuated_data_centres::store_restored(time_point now)
{
    m_rewritten_by = now + rewrite_period;
}

bool evacuated_data_centres::contains(data_centre_id data_centre,
                                      time_point now) const
{
    const auto retained = m_retained.find(data_centre);
    return m_listed.count(data_centre) != 0 ||
           (retained != m_retained.end() && now < retained->second);
}

} // namespace cranberrywood
