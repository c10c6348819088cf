#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEQUENCE_WINDOW_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_SEQUENCE_WINDOW_HPP

#include <array>
#include <cstdint>
#include <memory>

namespace cranberrywood {

/** How a sequence number stands to those seen before. */
enum class sequence_state : std::uint8_t
{
    fresh,
    duplicate,
    /** Below the window: it may have been seen. */
    too_old,
};

/**
 * Remembers which of the last 1024 sequence numbers were seen. Numbers start
 * at one.
 */
class sequence_window
{
public:
    /** Numbers below the highest that are told apart. */
    static constexpr std::uint64_t size = 1024;

    /** Starts a window that takes only numbers above the floor. */
    explicit sequence_window(std::uint64_t floor = 0);

    /** Marks a number as seen and returns how it stood before. */
    sequence_state mark(std::uint64_t sequence);

    /** Returns the highest number seen, or the floor. */
    std::uint64_t highest() const;

private:
    using bits = std::array<std::uint64_t, size / 64>;

    bool test_and_set(std::uint64_t sequence);
    void clear_between(std::uint64_t after, std::uint64_t last);

    std::uint64_t m_floor;
    std::uint64_t m_highest;
    // Allocated with the first number that leaves a gap: links keep order,
    // so most windows never need their bits.
    std::unique_ptr<bits> m_seen;
    // First number that the bits cover; all above the floor and below it
    // were seen in order.
    std::uint64_t m_ordered_to;
};

} // namespace cranberrywood

#endif
