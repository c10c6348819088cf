#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_HISTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_HISTORY_HPP

#include "core/messages.hpp"

#include <deque>
#include <optional>

namespace cranberrywood {

/**
 * The accepted value as text and the deltas that led to it, newest last, in
 * bounded memory. Serves peers that lag behind.
 */
class revision_history
{
public:
    /** Takes a newer accepted value. */
    void adopt(revision_number revision, std::string text);

    /** Returns the accepted revision; unset when there is none. */
    revision_number current() const
    {
        return m_current;
    }

    /**
     * Returns the messages that bring a peer from a revision to the current
     * one: deltas, or the whole value when the deltas do not reach back.
     */
    std::vector<revision_push> pushes_from(revision_number have) const;

    /** Returns the newest delta; nothing when there is none. */
    std::optional<revision_push> newest_delta() const;

    /** Returns a message that only names the current revision. */
    revision_push advert() const;

    /** Returns whether the deltas reach back to a revision. */
    bool reaches(revision_number have) const;

    /**
     * Returns the whole text that a message stands for; nothing when it is
     * no delta on the current text, or its digest does not match.
     */
    std::optional<std::string> text_of(const revision_push& push) const;

private:
    void drop_oldest();

    revision_number m_current;
    std::uint64_t m_digest = 0;
    std::string m_text;
    std::deque<revision_push> m_deltas;
    std::size_t m_delta_bytes = 0;
};

} // namespace cranberrywood

#endif
