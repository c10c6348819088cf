#include "loop/event_log.hpp"

#include "core/log_text.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cranberrywood {

namespace {

/** Lines that wait for the output; beyond it the oldest are dropped. */
constexpr std::size_t queue_lines = 2048;
constexpr std::size_t writer_threads = 1;

} // namespace

event_log::event_log(std::string vm) : m_vm(std::move(vm))
{
    spdlog::init_thread_pool(queue_lines, writer_threads);
    m_logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>("events");
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %v",
                          spdlog::pattern_time_type::utc);
    m_logger->flush_on(spdlog::level::info);
}

event_log::~event_log()
{
    m_logger->flush();
    spdlog::shutdown();
}

void event_log::write(log_code code, const std::string& fields)
{
    write(static_cast<std::uint32_t>(code), fields);
}

void event_log::write(std::uint32_t code, const std::string& fields)
{
    ++m_counts[code];
    m_logger->info("CW{} vm={} {}", code, m_vm, log_line_text(fields));
}

void event_log::report_dropped()
{
    const std::size_t dropped = spdlog::thread_pool()->overrun_counter();
    if (dropped != m_dropped) {
        write(log_code::log_lines_dropped,
              "lines=" + std::to_string(dropped - m_dropped));
        m_dropped = dropped;
    }
}

} // namespace cranberrywood
