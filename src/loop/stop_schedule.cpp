#include "loop/stop_schedule.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time in which the balancer notices that a VM is not ready: two misses. */
constexpr duration balancer_lag = 2600ms;
/** Time before the process is killed at which it ends by itself. */
constexpr duration end_margin = 300ms;
/** Time that the last answers have to reach their callers. */
constexpr duration answer_margin = 400ms;

} // namespace

// A short time to stop is divided in the same order.
stop_schedule::stop_schedule(time_point asked, duration within)
    : m_noticed(asked + std::min(balancer_lag, within / 2)),
      m_answer_by(asked +
                  std::max(within - end_margin - answer_margin, within / 2)),
      m_end_by(asked + std::max(within - end_margin, within / 2))
{
}

} // namespace cranberrywood
