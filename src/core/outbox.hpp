#ifndef CRANBERRYWOOD_CORE_OUTBOX_HPP
#define CRANBERRYWOOD_CORE_OUTBOX_HPP

#include "core/commands.hpp"
#include "core/log_codes.hpp"

namespace cranberrywood {

/**
 * Collects the messages and commands that the systems issue. The node wraps
 * peer messages in envelopes.
 */
class outbox
{
public:
    /** A peer message with its receiver, before it is put into an envelope. */
    struct addressed
    {
        vm_id to;
        peer_message body;
    };

    /** Sends a message to another VM. */
    void to_peer(vm_id to, peer_message body)
    {
        m_peer_messages.push_back({to, std::move(body)});
    }
    /** Issues any other command. */
    void issue(command c)
    {
        m_commands.push_back(std::move(c));
    }
    /** Writes a numbered event to the log. */
    void log(log_code code, std::string text)
    {
        issue(log_event{static_cast<std::uint32_t>(code), std::move(text)});
    }

    /** Removes and returns the messages added since the last call. */
    std::vector<addressed> take_peer_messages()
    {
        return std::exchange(m_peer_messages, {});
    }
    /** Removes and returns the commands added since the last call. */
    commands take_commands()
    {
        return std::exchange(m_commands, {});
    }

private:
    std::vector<addressed> m_peer_messages;
    commands m_commands;
};

} // namespace cranberrywood

#endif
