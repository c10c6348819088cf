#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_PULLS_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_PULLS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <deque>
#include <optional>

namespace cranberrywood {

/**
 * Tracks the peers that announced a newer revision than this VM has, and
 * schedules the pulls: one at a time, from another peer after each timeout.
 */
class revision_pulls
{
public:
    /** Records that a peer has a revision. */
    void add_offer(vm_id peer, revision_number revision);

    /** Removes the offers up to a revision that this VM accepted. */
    void record_accepted(revision_number revision);

    /** Removes the offers of just this revision, which this VM refused. */
    void record_refused(revision_number revision);

    /** Returns the peer to pull from now, if a pull is due. */
    std::optional<vm_id> take_due(time_point now);

    /** Returns whether peers have a newer revision than this VM. */
    bool is_behind() const
    {
        return !m_offers.empty();
    }
    /** Returns the newest revision that was accepted here or at a peer. */
    revision_number newest() const
    {
        return m_newest;
    }

private:
    template <class Condition>
    void remove_offers(Condition condition);

    struct offer
    {
        vm_id peer;
        revision_number revision;
    };

    std::deque<offer> m_offers;
    revision_number m_newest;
    revision_number m_accepted;
    std::optional<time_point> m_pull_deadline;
};

} // namespace cranberrywood

#endif
