#ifndef CRANBERRYWOOD_CORE_RANDOM_SOURCE_HPP
#define CRANBERRYWOOD_CORE_RANDOM_SOURCE_HPP

#include <cstdint>
#include <random>

namespace cranberrywood {

/** Source of all random numbers in the core. */
class random_source
{
public:
    virtual ~random_source() = default;
    /** Returns 64 random bits. */
    virtual std::uint64_t next() = 0;

    /** Returns a number in [0, bound); bound must not be zero. */
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }
};

/** Random source that repeats the same numbers for the same seed. */
class seeded_random : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) {}
    std::uint64_t next() override
    {
        return m_engine();
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace cranberrywood

#endif
