#ifndef CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_BUCKET_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_BUCKET_HPP

#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/** Cost of one request in thousandths of a token. */
constexpr std::uint64_t tokens_per_request = 1000;

/**
 * Token bucket in integer arithmetic. The caller passes the capacity, which is
 * the burst less the tokens that are lent out.
 */
class token_bucket
{
public:
    /** Starts empty. */
    explicit token_bucket(time_point now) : m_filled_at(now) {}

    /** Adds the tokens earned since the last call, up to the capacity. */
    void refill(std::uint64_t rate_milli, std::uint64_t capacity,
                time_point now);

    /** Puts tokens back, up to the capacity. */
    void put_back(std::uint64_t tokens, std::uint64_t capacity);

    /** Takes tokens; the bucket must hold as many. */
    void take(std::uint64_t tokens);

    /** Returns the tokens in the bucket, in thousandths. */
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
