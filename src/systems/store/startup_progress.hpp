#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STARTUP_PROGRESS_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STARTUP_PROGRESS_HPP

#include "core/random_source.hpp"
#include "units/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace cranberrywood {

/** Steps of the start of a VM. */
enum class startup_step : std::uint8_t
{
    /** A configuration is known. */
    configuration,
    /** Backend servers are known. */
    servers,
    /** A linearizable read, by this VM or by a reader, confirmed the state. */
    confirmed,
    /** The VM can serve requests. */
    ready,
};

const char* name_of(startup_step step);

/**
 * Records how far the start of this VM is, and estimates when it is ready for
 * the callers that it refuses until then.
 */
class startup_progress
{
public:
    /** The random source must outlive this object. */
    startup_progress(random_source& random, time_point started);

    /** Records a step; returns whether it is new. */
    bool record(startup_step step, time_point now);
    bool has(startup_step step) const
    {
        return m_reached[index(step)].has_value();
    }
    /** Returns the time from the start to a step, if it was reached. */
    std::optional<duration> time_to(startup_step step) const;
    duration age(time_point now) const
    {
        return now - m_started;
    }

    /** Returns the expected time until requests can be served or judged. */
    duration time_left(time_point now) const;
    /**
     * Returns the retry delay of a refused request: the time left and a jitter
     * that is smaller for a higher priority (0 is the highest).
     */
    duration retry_after(std::optional<std::uint32_t> priority, time_point now);

private:
    static constexpr std::size_t step_count = 4;

    static std::size_t index(startup_step step)
    {
        return static_cast<std::size_t>(step);
    }

    random_source& m_random;
    time_point m_started;
    std::array<std::optional<time_point>, step_count> m_reached;
};

} // namespace cranberrywood

#endif
