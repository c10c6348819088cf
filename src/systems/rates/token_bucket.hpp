#ifndef CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_BUCKET_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_BUCKET_HPP

#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/** Tokens that one request costs, in thousandths. */
constexpr std::uint64_t tokens_per_request = 1000;

/**
 * Token bucket in integers, which starts empty. Its room is what the caller
 * leaves of the burst: tokens that are lent out count against it.
 */
class token_bucket
{
public:
    /** Starts empty at a time. */
    explicit token_bucket(time_point now) : m_filled_at(now) {}

    /** Adds the tokens of the time since the last call, up to room. */
    void refill(std::uint64_t rate_milli, std::uint64_t room, time_point now);

    /** Puts tokens back, up to room. */
    void put_back(std::uint64_t tokens, std::uint64_t room);

    /** Takes tokens; there must be as many. */
    void take(std::uint64_t tokens);

    /** Returns the tokens in it, in thousandths of a request. */
    std::uint64_t tokens() const
    {
        return m_tokens;
    }

private:
    std::uint64_t m_tokens = 0;
    time_point m_filled_at;
};

} // namespace cranberrywood

#endif
