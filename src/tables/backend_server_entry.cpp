#include "tables/backend_server_entry.hpp"

namespace cranberrywood {

bool is_late_report(const backend_server_entry& known,
                    const backend_server_entry& report, bool listed)
{
    if (report.born_ms != known.born_ms) {
        return report.born_ms < known.born_ms;
    }
    return listed ? report.sequence < known.sequence
                  : report.sequence <= known.sequence;
}

} // namespace cranberrywood
