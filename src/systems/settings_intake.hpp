#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_INTAKE_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_INTAKE_HPP

#include "core/events.hpp"
#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "settings/settings_reader.hpp"

namespace cranberrywood {

/** Reads the configuration service and checks what it answers. */
class settings_intake
{
public:
    explicit settings_intake(const node_identity& self);

    /** Takes an answer of the service. */
    void receive(const configuration_read& e, time_point now, outbox& out);
    void receive(const configuration_unavailable& e, time_point now,
                 outbox& out);

    /** Asks the service when no read is waiting. */
    void tick(time_point now, outbox& out);

    /** Takes the settings accepted since the last call. */
    std::optional<std::shared_ptr<const settings_index>> take_accepted();

    /** Returns whether the service answered since the last call. */
    bool take_answered();

    /** Returns the errors of the last refused revision. */
    const std::string& refusal() const
    {
        return m_refusal;
    }

private:
    node_identity m_self;
    revision_number m_seen;
    bool m_reading = false;
    bool m_answered = false;
    time_point m_retry_at;
    std::string m_refusal;
    std::optional<std::shared_ptr<const settings_index>> m_accepted;
};

} // namespace cranberrywood

#endif
