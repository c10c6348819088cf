#ifndef CRANBERRYWOOD_TESTS_FAKES_STATIC_SHARES_HPP
#define CRANBERRYWOOD_TESTS_FAKES_STATIC_SHARES_HPP

#include "systems/rates/rate_borrower.hpp"

#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace cranberrywood::fakes {

/**
 * Baseline to compare loans with: each entry VM admits its fixed share of a
 * workspace's rate and burst, and asks nobody.
 */
class static_shares
{
public:
    explicit static_shares(std::size_t vms) : m_vms(vms) {}

    /** Takes new rates and bursts. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Asks for one token; see rate_borrower. */
    void request(caller_token caller, workspace_id workspace, duration max_wait,
                 time_point now);

    /** Takes the decisions since the last call. */
    std::vector<rate_decision> take_decisions();

    /** Grants what waits, and refuses what waited too long. */
    void tick(time_point now);

private:
    struct share
    {
        explicit share(time_point now) : bucket(now) {}

        token_bucket bucket;
        std::deque<std::pair<caller_token, time_point>> queue;
    };

    void serve(workspace_id workspace, share& s, time_point now);

    std::size_t m_vms;
    std::shared_ptr<const settings_index> m_settings;
    std::map<workspace_id, share> m_shares;
    std::vector<rate_decision> m_decisions;
};

} // namespace cranberrywood::fakes

#endif
