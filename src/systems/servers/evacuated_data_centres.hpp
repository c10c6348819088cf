#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_EVACUATED_DATA_CENTRES_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_EVACUATED_DATA_CENTRES_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>
#include <set>
#include <vector>

namespace cranberrywood {

/**
 * The data centres whose servers get no requests. After the store was restored
 * from an older copy, an evacuation that the copy lacks stays in force until
 * operators had time to write it again.
 */
class evacuated_data_centres
{
public:
    /** Takes over the complete list of evacuated data centres. */
    void listed(const std::vector<data_centre_id>& data_centres,
                time_point now);
    /** Records that the store was restored from an older copy. */
    void store_restored(time_point now);

    bool contains(data_centre_id data_centre, time_point now) const;

private:
    std::set<data_centre_id> m_listed;
    /** Evacuations that are not listed, and until when they stay in force. */
    std::map<data_centre_id, time_point> m_retained;
    /** End of the time in which lost evacuations are written again. */
    time_point m_rewritten_by;
};

} // namespace cranberrywood

#endif
