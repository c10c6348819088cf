#ifndef CRANBERRYWOOD_LOOP_REST_LIMITS_HPP
#define CRANBERRYWOOD_LOOP_REST_LIMITS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/**
 * How long connections to a server may have been idle and still be used,
 * learnt from those that turned out to be lost. Servers may drop idle
 * connections sooner than they say. Losses that idleness does not explain limit
 * nothing.
 */
class rest_limits
{
public:
    /** A connection that had been idle for so long has carried an answer. */
    void worked(backend_server_id server, duration rested, time_point now);
    /** A connection was lost at once when it was used after being idle. */
    void lost(backend_server_id server, duration rested, time_point now);
    /** A connection that had not been idle was lost before any answer. */
    void lost_fresh(backend_server_id server, time_point now);

    /**
     * Returns whether a connection that was idle for so long may be used.
     * Beyond a limit, one connection is tried at a time once the limit has held
     * for its term.
     */
    bool may_use(backend_server_id server, duration rested, time_point now);

private:
    struct idle_time
    {
        duration rested{0};
        time_point at;
    };

    struct limit
    {
        duration rest{0};
        /** When a connection that was idle for longer is tried next. */
        time_point try_at;
        duration term{0};
    };

    /** What is known of one server. */
    struct record
    {
        /** Idle times that worked, each shorter and later than the one before.
         */
        std::vector<idle_time> worked;
        /** Losses in a row that idleness explains, and the shortest of them. */
        std::uint32_t losses = 0;
        duration shortest_loss{0};
        time_point lost_at;
        std::optional<time_point> fresh_lost_at;
        std::optional<limit> own;
        time_point changed_at;
    };

    static bool explained_by_idleness(const record& known, duration rested,
                                      time_point now);
    static void set_limit(record& known, time_point now);
    void drop_expired(time_point now);

    std::unordered_map<backend_server_id, record> m_servers;
    time_point m_dropped_at;
};

} // namespace cranberrywood

#endif
