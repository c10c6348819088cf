#include "io/log_sink.hpp"

#include <glog/logging.h>

namespace cranberrywood {

namespace {

/** Returns the level that docs/EVENTS.md names for an event. */
google::LogSeverity level_of(std::uint32_t code)
{
    switch (static_cast<log_code>(code)) {
    case log_code::invariant_broken:
    case log_code::port_not_free:
        return google::GLOG_ERROR;
    case log_code::revision_refused:
    case log_code::view_unconfirmed:
    case log_code::configuration_unavailable:
    case log_code::lease_expired:
    case log_code::peer_frame_refused:
    case log_code::backend_frame_refused:
        return google::GLOG_WARNING;
    default:
        return google::GLOG_INFO;
    }
}

} // namespace

void start_log(const char* program)
{
    // VMs have no disks; the platform collects standard error.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void write_log(const log_event& event)
{
    const std::string line =
        "CW" + std::to_string(event.code) + ' ' + event.text;
    google::LogMessage("node", 0, level_of(event.code)).stream() << line;
}

void write_log(log_code code, const std::string& text)
{
    write_log(log_event{static_cast<std::uint32_t>(code), text});
}

} // namespace cranberrywood
