#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_REQUEST_TRACE_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_REQUEST_TRACE_HPP

#include "cranberrywoodctl/log_line.hpp"

namespace cranberrywood::ctl {

/** What an event has to do with a request. */
enum class relevance : std::uint8_t
{
    /** It names the request. */
    request,
    /** It is about a backend server that the request was sent to. */
    server,
    /** State of a VM that took the request, as it last changed before. */
    vm_state,
};

/** Returns the name of a relevance as used in output. */
const char* name_of(relevance why);

struct trace_entry
{
    relevance why = relevance::request;
    log_line line;
};

/**
 * Selects the events that explain a request, in the order of their times:
 * those that name it, those on its backend servers shortly before, and what
 * the VMs that took it last said of their own state. Empty if no event names
 * the request.
 */
std::vector<trace_entry> trace_of(const std::string& request,
                                  std::vector<log_line> lines);

} // namespace cranberrywood::ctl

#endif
