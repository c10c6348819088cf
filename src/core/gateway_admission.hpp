#ifndef CRANBERRYWOOD_CORE_GATEWAY_ADMISSION_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_ADMISSION_HPP

#include "core/random_source.hpp"
#include "systems/queries/crash_quarantine.hpp"
#include "systems/queries/waiting_calls.hpp"
#include "systems/rates/rate_slices.hpp"
#include "systems/servers/server_choice.hpp"
#include "systems/store/startup_progress.hpp"

#include <variant>

namespace cranberrywood {

/** The request can be admitted once this VM has a token of the workspace. */
struct token_needed
{
    workspace_id workspace;
};

using admission_result =
    std::variant<std::unique_ptr<open_request>, refused_answer, token_needed>;

/** Returns the fingerprint of a workspace's request. */
fingerprint fingerprint_of(workspace_id workspace,
                           const request_received& asked);

/**
 * Decides whether a caller's request is admitted: checks its route, key and
 * rate, whether servers crashed under it, and whether its services are expected
 * to serve it in time.
 */
class gateway_admission
{
public:
    gateway_admission(rate_slices& rates, waiting_calls& waiting,
                      const crash_quarantine& quarantine,
                      const server_choice& choice, startup_progress& startup,
                      random_source& random);

    void catalogue_changed(std::shared_ptr<const catalogue> settings);

    /** This VM stops; requests are limited to the time that it has left. */
    void leaving(const vm_leaving& terms);

    /** Returns the admitted request, or why it was not admitted. */
    admission_result admit(const request_received& asked, time_point now);

private:
    /**
     * Returns the refusal of a request that this VM cannot judge: `why`, or
     * that the VM is not ready while its state is unconfirmed and may be old.
     */
    refused_answer refuse_unknown(refusal_reason why,
                                  std::optional<std::uint32_t> priority,
                                  time_point now) const;
    /** Returns whether the request may outlast this VM; limits it if not. */
    bool outlasts_vm(open_request& request, time_point now) const;
    std::optional<duration> excess_wait(const open_request& request,
                                        time_point now);
    /** Returns when enough servers take requests, if that is too late. */
    std::optional<time_point> late_opening(const open_request& request,
                                           time_point now) const;
    std::vector<service_call> calls_for(const route& terms);

    rate_slices& m_rates;
    waiting_calls& m_waiting;
    const crash_quarantine& m_quarantine;
    const server_choice& m_choice;
    startup_progress& m_startup;
    random_source& m_random;
    std::shared_ptr<const catalogue> m_settings;
    vm_leaving m_leaving;
};

} // namespace cranberrywood

#endif
