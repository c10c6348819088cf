#include "systems/lookups/sequence_window.hpp"

#include <algorithm>

namespace cranberrywood {

sequence_window::sequence_window(std::uint64_t floor)
    : m_floor(floor), m_highest(floor), m_last_in_order(floor)
{
}

sequence_state sequence_window::mark(std::uint64_t sequence)
{
    if (sequence + size <= m_highest || sequence <= m_floor) {
        return sequence_state::too_old;
    }
    if (sequence <= m_last_in_order) {
        return sequence_state::duplicate;
    }
    if (m_seen == nullptr && sequence == m_highest + 1) {
        m_highest = sequence;
        m_last_in_order = sequence;
        return sequence_state::fresh;
    }
    if (m_seen == nullptr) {
        m_seen = std::make_unique<bits>();
    }
    if (sequence > m_highest) {
        clear_bits(m_highest, sequence);
        m_highest = sequence;
    }
    return test_and_set(sequence) ? sequence_state::duplicate
                                  : sequence_state::fresh;
}

std::uint64_t sequence_window::highest() const
{
    return m_highest;
}

bool sequence_window::test_and_set(std::uint64_t sequence)
{
    const std::uint64_t slot = sequence % size;
    const std::uint64_t bit = std::uint64_t{1} << (slot % 64);
    std::uint64_t& word = (*m_seen)[slot / 64];
    const bool seen = (word & bit) != 0;
    word |= bit;
    return seen;
}

void sequence_window::clear_bits(std::uint64_t after, std::uint64_t last)
{
    if (last - after >= size) {
        m_seen->fill(0);
        return;
    }
    for (std::uint64_t sequence = after + 1; sequence <= last; ++sequence) {
        const std::uint64_t slot = sequence % size;
        (*m_seen)[slot / 64] &= ~(std::uint64_t{1} << (slot % 64));
    }
}

} // namespace cranberrywood
