#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_PULLS_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_PULLS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <deque>
#include <optional>

namespace cranberrywood {

/**
 * Remembers which peers named a newer revision than this VM has, and paces
 * the pulls from them: one at a time, another peer after each timeout.
 */
class revision_pulls
{
public:
    /** Notes that a peer has a revision. */
    void named(vm_id peer, revision_number revision);

    /** Forgets revisions up to this one, which was accepted here. */
    void accepted(revision_number revision);

    /** Forgets this revision alone, which was refused here. */
    void refused(revision_number revision);

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
    void forget(Condition condition);

    struct offer
    {
        vm_id peer;
        revision_number revision;
    };

    std::deque<offer> m_offers;
    revision_number m_newest;
    revision_number m_accepted;
    std::optional<time_point> m_waiting_until;
};

} // namespace cranberrywood

#endif
