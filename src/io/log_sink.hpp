#ifndef CRANBERRYWOOD_IO_LOG_SINK_HPP
#define CRANBERRYWOOD_IO_LOG_SINK_HPP

#include "core/commands.hpp"
#include "core/log_codes.hpp"

#include <string>

namespace cranberrywood {

/** Starts glog for this program; everything goes to standard error. */
void start_log(const char* program);

/** Writes a numbered event as `CW1203 text`; safe on every thread. */
void write_log(const log_event& event);
void write_log(log_code code, const std::string& text);

} // namespace cranberrywood

#endif
