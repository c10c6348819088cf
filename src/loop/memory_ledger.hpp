#ifndef CRANBERRYWOOD_LOOP_MEMORY_LEDGER_HPP
#define CRANBERRYWOOD_LOOP_MEMORY_LEDGER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace cranberrywood {

/** What bytes are held for. */
enum class memory_account : std::uint8_t
{
    /** Heads and bodies that callers send, and bytes pipelined behind them. */
    request_reading,
    /** Requests that are open. */
    admitted_requests,
    /** Requests that servers have not taken yet. */
    server_requests,
    /** Answers that servers are sending. */
    server_answers,
    /** Answers and parts of queries that wait for the rest. */
    parts,
    /** Answers that callers have not taken. */
    caller_answers,
    /** Messages from and to other VMs and the store. */
    peers,
    count,
};

/** How the sum of the accounts relates to the limits. */
enum class memory_pressure : std::uint8_t
{
    none,
    /** Above the soft limit: no new requests. */
    soft,
    /** Above the hard limit: connections are closed. */
    hard,
};

/** Bounds of the sum of all accounts, in bytes. */
struct memory_limits
{
    std::size_t soft = std::numeric_limits<std::size_t>::max();
    std::size_t hard = std::numeric_limits<std::size_t>::max();
    /** Largest kernel buffer of a connection for each way; 0: unbounded. */
    std::size_t caller_buffer = 0;
    std::size_t server_buffer = 0;
};

/** Returns the limits of a VM with as much memory. */
memory_limits limits_of_memory(std::size_t memory_mb);

/** Returns the name used in logs and metrics. */
const char* name_of(memory_account account);
const char* name_of(memory_pressure pressure);

/** Counts the bytes that are held for others. */
class memory_ledger
{
public:
    using change_handler = std::function<void(memory_pressure now)>;
    static constexpr std::size_t accounts =
        static_cast<std::size_t>(memory_account::count);

    void limit(const memory_limits& limits);
    /** Sets who is told that the pressure has changed; it must not close
     *  connections before it has returned. */
    void on_change(change_handler handler)
    {
        m_changed = std::move(handler);
    }

    /** Replaces a holder's bytes of an account. */
    void replace(memory_account account, std::size_t before, std::size_t after)
    {
        m_bytes[static_cast<std::size_t>(account)] += after - before;
        m_sum += after - before;
        const bool rose = after > before && m_sum > m_next_up;
        if (rose || m_sum < m_next_down) {
            review();
        }
    }

    std::size_t sum() const
    {
        return m_sum;
    }
    std::size_t bytes(memory_account account) const
    {
        return m_bytes[static_cast<std::size_t>(account)];
    }
    memory_pressure pressure() const
    {
        return m_pressure;
    }
    const memory_limits& limits() const
    {
        return m_limits;
    }
    /** Returns how many bytes must go until the pressure is soft, or ends. */
    std::size_t excess_of(memory_pressure pressure) const;

private:
    void review();
    std::size_t release_below(memory_pressure pressure) const;

    memory_limits m_limits;
    std::array<std::size_t, accounts> m_bytes{};
    std::size_t m_sum = 0;
    memory_pressure m_pressure = memory_pressure::none;
    /** Sums beyond which the pressure changes. */
    std::size_t m_next_up = std::numeric_limits<std::size_t>::max();
    std::size_t m_next_down = 0;
    change_handler m_changed;
};

/** Bytes of one holder in an account, given back when it goes. */
class memory_hold
{
public:
    memory_hold(memory_ledger& ledger, memory_account account)
        : m_ledger(ledger), m_account(account)
    {
    }
    ~memory_hold()
    {
        set(0);
    }
    memory_hold(const memory_hold&) = delete;
    memory_hold& operator=(const memory_hold&) = delete;

    void set(std::size_t bytes)
    {
        if (bytes != m_bytes) {
            const std::size_t before = m_bytes;
            m_bytes = bytes;
            m_ledger.replace(m_account, before, bytes);
        }
    }
    std::size_t bytes() const
    {
        return m_bytes;
    }
    /** Moves the bytes to another account. */
    void assign(memory_account account)
    {
        const std::size_t bytes = m_bytes;
        set(0);
        m_account = account;
        set(bytes);
    }

private:
    memory_ledger& m_ledger;
    memory_account m_account;
    std::size_t m_bytes = 0;
};

} // namespace cranberrywood

#endif
