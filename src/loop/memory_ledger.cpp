#include "loop/memory_ledger.hpp"

namespace cranberrywood {

namespace {

constexpr std::size_t megabyte = 1024UL * 1024;
/** Parts of the VM's memory, in sixteenths; docs/design/memory.md adds up. */
constexpr std::size_t sixteenths = 16;
constexpr std::size_t soft_sixteenths = 4;
constexpr std::size_t hard_sixteenths = 6;
/** A pressure ends at this part of its limit, in eighths, so that it does not
 * change with every message. */
constexpr std::size_t eighths = 8;
constexpr std::size_t release_eighths = 7;
/** Kernel buffer of a caller's connection: 80 Mbit/s over 6 ms. */
constexpr std::size_t caller_buffer = 65536;
/** The same of a server: 100 Mbit/s over 9 ms. */
constexpr std::size_t server_buffer = 131072;

} // namespace

memory_limits limits_of_memory(std::size_t memory_mb)
{
    const std::size_t part = memory_mb * megabyte / sixteenths;
    return {part * soft_sixteenths, part * hard_sixteenths, caller_buffer,
            server_buffer};
}

const char* name_of(memory_account account)
{
    switch (account) {
    case memory_account::request_reading:
        return "request_reading";
    case memory_account::admitted_requests:
        return "admitted_requests";
    case memory_account::server_requests:
        return "server_requests";
    case memory_account::server_answers:
        return "server_answers";
    case memory_account::parts:
        return "parts";
    case memory_account::caller_answers:
        return "caller_answers";
    case memory_account::peers:
        return "peers";
    case memory_account::count:
        break;
    }
    return "unknown";
}

const char* name_of(memory_pressure pressure)
{
    switch (pressure) {
    case memory_pressure::none:
        return "none";
    case memory_pressure::soft:
        return "soft";
    case memory_pressure::hard:
        return "hard";
    }
    return "unknown";
}

void memory_ledger::limit(const memory_limits& limits)
{
    m_limits = limits;
    review();
}

std::size_t memory_ledger::release_below(memory_pressure pressure) const
{
    const std::size_t limit =
        pressure == memory_pressure::hard ? m_limits.hard : m_limits.soft;
    return limit / eighths * release_eighths;
}

std::size_t memory_ledger::excess_of(memory_pressure pressure) const
{
    const std::size_t most = release_below(pressure);
    return m_sum > most ? m_sum - most : 0;
}

void memory_ledger::review()
{
    const memory_pressure before = m_pressure;
    // A pressure that is on ends at its lower bound.
    const auto above = [&](memory_pressure pressure, std::size_t limit) {
        return m_sum > limit ||
               (before >= pressure && m_sum >= release_below(pressure));
    };
    m_pressure =
        above(memory_pressure::hard, m_limits.hard)   ? memory_pressure::hard
        : above(memory_pressure::soft, m_limits.soft) ? memory_pressure::soft
                                                      : memory_pressure::none;
    m_next_up = m_pressure == memory_pressure::none ? m_limits.soft
                : m_pressure == memory_pressure::soft
                    ? m_limits.hard
                    : static_cast<std::size_t>(-1);
    m_next_down =
        m_pressure == memory_pressure::none ? 0 : release_below(m_pressure);
    if (m_pressure != before && m_changed) {
        m_changed(m_pressure);
    }
}

} // namespace cranberrywood
