#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_CONFIGURATION_WATCH_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_CONFIGURATION_WATCH_HPP

#include "core/outbox.hpp"
#include "core/random_source.hpp"

namespace cranberrywood {

/**
 * Paces the reads of the configuration service: one waiting read at a time,
 * a pause after answers without news, growing jittered pauses after failures.
 */
class configuration_watch
{
public:
    explicit configuration_watch(random_source& random) : m_random(random) {}

    /** Issues a read when one is due. */
    void tick(time_point now, outbox& out);

    /** Notes an answer and the revision in it. */
    void answered(revision_number revision, time_point now);

    /** Notes a revision that was learned elsewhere; reads wait for newer. */
    void learned(revision_number revision);

    /** Notes that the service could not be read. */
    void unavailable(time_point now);

    /** Returns whether the last read failed. */
    bool is_down() const
    {
        return m_failures != 0;
    }
    /**
     * Returns whether the service answered within a span until now with a
     * revision at least as new as any that was known.
     */
    bool answered_within(duration span, time_point now) const;
    /** Returns the number of reads that were issued. */
    std::uint64_t reads() const
    {
        return m_reads;
    }

private:
    duration jittered(duration pause);

    random_source& m_random;
    revision_number m_newest;
    bool m_waiting = false;
    bool m_ever_answered = false;
    std::uint32_t m_failures = 0;
    std::uint64_t m_reads = 0;
    time_point m_issued;
    time_point m_answered;
    time_point m_next;
};

} // namespace cranberrywood

#endif
