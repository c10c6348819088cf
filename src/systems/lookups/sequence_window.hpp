#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEQUENCE_WINDOW_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEQUENCE_WINDOW_HPP

#include <array>
#include <cstdint>
#include <memory>

namespace cranberrywood {

/** State of a sequence number relative to those seen before. */
enum class sequence_state : std::uint8_t
{
    fresh,
    duplicate,
    /** Below the window: it may have been seen. */
    too_old,
};

/**
 * Sliding window that detects duplicates among the last 1024 sequence numbers.
 * Numbers start at one.
 */
class sequence_window
{
public:
    /** Number of sequence numbers that the window covers. */
    static constexpr std::uint64_t size = 1024;

    /** Starts a window that accepts only numbers above the floor. */
    explicit sequence_window(std::uint64_t floor = 0);

    /** Marks a number as seen and returns its state before. */
    sequence_state mark(std::uint64_t sequence);

    /** Returns the highest number seen, or the floor. */
    std::uint64_t highest() const;

private:
    using bits = std::array<std::uint64_t, size / 64>;

    bool test_and_set(std::uint64_t sequence);
    void clear_bits(std::uint64_t after, std::uint64_t last);

    std::uint64_t m_floor;
    std::uint64_t m_highest;
    // Allocated at the first gap: links keep messages in order, so most windows
    // never need the bits.
    std::unique_ptr<bits> m_seen;
    // Last number seen in order; all numbers above the floor up to it were
    // seen, and the bits cover only those above it.
    std::uint64_t m_last_in_order;
};

} // namespace cranberrywood

#endif
