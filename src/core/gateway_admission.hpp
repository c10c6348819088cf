#ifndef CRANBERRYWOOD_CORE_GATEWAY_ADMISSION_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_ADMISSION_HPP

#include "core/random_source.hpp"
#include "systems/queries/waiting_calls.hpp"
#include "systems/rates/rate_slices.hpp"

#include <variant>

namespace cranberrywood {

/** A request could run once its workspace has a token here. */
struct token_needed
{
    workspace_id workspace;
};

using admission_result =
    std::variant<std::unique_ptr<open_request>, refused_answer, token_needed>;

/**
 * Decides whether a caller's request is taken: route, key, rate, and whether
 * its services can be expected to serve it in time.
 */
class gateway_admission
{
public:
    gateway_admission(rate_slices& rates, waiting_calls& waiting,
                      random_source& random);

    void catalogue_changed(std::shared_ptr<const catalogue> settings);

    /** Returns the row of a request that is taken, else why it is not. */
    admission_result admit(const request_received& asked, time_point now);

private:
    std::optional<duration> too_long_wait(const open_request& request,
                                          time_point now);
    std::vector<service_call> calls_for(const route& terms);

    rate_slices& m_rates;
    waiting_calls& m_waiting;
    random_source& m_random;
    std::shared_ptr<const catalogue> m_settings;
};

} // namespace cranberrywood

#endif
