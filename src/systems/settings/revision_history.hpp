#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_HISTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_HISTORY_HPP

#include "core/messages.hpp"

#include <deque>
#include <optional>

namespace cranberrywood {

/**
 * Stores the accepted value as text and its most recent deltas, newest last,
 * within limits of number and bytes. Peers with older revisions are served
 * from it.
 */
class revision_history
{
public:
    /** Replaces the value by a newer accepted one and stores the delta. */
    void adopt(revision_number revision, std::string text);

    /** Returns the accepted revision; unset when there is none. */
    revision_number current() const
    {
        return m_current;
    }

    /**
     * Returns the messages that update a peer from a revision to the current
     * one: deltas, or the whole value when these deltas are no longer stored.
     */
    std::vector<revision_push> pushes_from(revision_number have) const;

    /** Returns the newest delta; nothing when there is none. */
    std::optional<revision_push> newest_delta() const;

    /** Returns a message with the current revision number but no body. */
    revision_push announcement() const;

    /** Returns whether the deltas from a revision on are stored. */
    bool has_delta_from(revision_number have) const;

    /**
     * Returns the whole text of a pushed value; nothing when the message is a
     * delta to another text than the current one, or its digest differs.
     */
    std::optional<std::string> restore_text(const revision_push& push) const;

private:
    void evict_oldest();

    revision_number m_current;
    std::uint64_t m_digest = 0;
    std::string m_text;
    std::deque<revision_push> m_deltas;
    std::size_t m_delta_bytes = 0;
};

} // namespace cranberrywood

#endif
