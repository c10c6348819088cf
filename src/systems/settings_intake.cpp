#include "systems/settings_intake.hpp"

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

constexpr duration retry_pause = 1s;

} // namespace

settings_intake::settings_intake(const node_identity& self) : m_self(self) {}

void settings_intake::receive(const configuration_read& e, time_point,
                              outbox& out)
{
    m_reading = false;
    m_answered = true;
    if (e.value.revision <= m_seen) {
        return;
    }
    m_seen = e.value.revision;
    const auto result = read_settings(e.value);
    if (const auto* accepted = std::get_if<accepted_settings>(&result)) {
        m_accepted = accepted->of_site(m_self.site);
        m_refusal.clear();
        return;
    }
    m_refusal = std::get<std::vector<settings_error>>(result).front().text();
    out.log(log_code::revision_refused, m_refusal);
}

void settings_intake::receive(const configuration_unavailable& e,
                              time_point now, outbox& out)
{
    m_reading = false;
    m_retry_at = now + retry_pause;
    out.log(log_code::configuration_unavailable, e.why);
}

void settings_intake::tick(time_point now, outbox& out)
{
    if (!m_reading && now >= m_retry_at) {
        m_reading = true;
        out.issue(read_configuration{m_seen});
    }
}

std::optional<std::shared_ptr<const settings_index>>
settings_intake::take_accepted()
{
    return std::exchange(m_accepted, std::nullopt);
}

bool settings_intake::take_answered()
{
    return std::exchange(m_answered, false);
}

} // namespace cranberrywood
