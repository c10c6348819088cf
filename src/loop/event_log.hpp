#ifndef CRANBERRYWOOD_LOOP_EVENT_LOG_HPP
#define CRANBERRYWOOD_LOOP_EVENT_LOG_HPP

#include "core/log_codes.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace spdlog {
class logger;
} // namespace spdlog

namespace cranberrywood {

/**
 * Writes numbered events to standard output, a line each, as
 * `TIME CWnnnn key=value ...`. Never blocks: when the output does not take
 * them, the oldest lines are dropped and counted.
 */
class event_log
{
public:
    explicit event_log(std::string vm);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(log_code code, const std::string& fields);
    void write(std::uint32_t code, const std::string& fields);

    /** Writes how many lines were dropped since the last call, if any. */
    void report_dropped();

    /** Returns the number of events written, by event. */
    const std::map<std::uint32_t, std::uint64_t>& counts() const
    {
        return m_counts;
    }
    /** Returns the number of lines dropped, as of the last report. */
    std::size_t lines_dropped() const
    {
        return m_dropped;
    }

private:
    std::string m_vm;
    std::shared_ptr<spdlog::logger> m_logger;
    std::size_t m_dropped = 0;
    std::map<std::uint32_t, std::uint64_t> m_counts;
};

} // namespace cranberrywood

#endif
