#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_CONFIGURATION_WATCH_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_CONFIGURATION_WATCH_HPP

#include "core/outbox.hpp"
#include "core/random_source.hpp"

namespace cranberrywood {

/**
 * Schedules the reads of the configuration service: at most one in flight, a
 * minimum interval after an answer without a newer revision, and exponential
 * backoff with jitter after failures.
 */
class configuration_watch
{
public:
    explicit configuration_watch(random_source& random) : m_random(random) {}

    /** Issues a read when one is due. */
    void tick(time_point now, outbox& out);

    /** Records an answer and its revision. */
    void record_answer(revision_number revision, time_point now);

    /** Records a revision from any source; reads ask for newer ones. */
    void record_revision(revision_number revision);

    /** Records that a read failed. */
    void record_failure(time_point now);

    /** Returns whether the last read failed. */
    bool is_down() const
    {
        return m_failures != 0;
    }
    /**
     * Returns whether the service answered within a time span before now with
     * a revision at least as new as any known one.
     */
    bool answered_within(duration span, time_point now) const;
    /** Returns the number of reads that were issued. */
    std::uint64_t reads() const
    {
        return m_reads;
    }

private:
    duration jittered(duration interval);

    random_source& m_random;
    revision_number m_newest;
    bool m_read_in_flight = false;
    bool m_ever_answered = false;
    std::uint32_t m_failures = 0;
    std::uint64_t m_reads = 0;
    time_point m_issued_at;
    time_point m_last_answer;
    time_point m_next_read;
};

} // namespace cranberrywood

#endif
