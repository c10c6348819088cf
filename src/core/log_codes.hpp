#ifndef CRANBERRYWOOD_CORE_LOG_CODES_HPP
#define CRANBERRYWOOD_CORE_LOG_CODES_HPP

#include <cstdint>

namespace cranberrywood {

/**
 * Numbers of the log events. Ranges by area: 10xx node, 11xx settings,
 * 12xx leases and roles, 13xx rates, 14xx at-most-once, 15xx backend servers,
 * 16xx queries, 17xx quarantine, 18xx input and output.
 */
enum class log_code : std::uint32_t
{
    node_started = 1001,
    node_leaving = 1002,
    node_left = 1003,
    invariant_broken = 1004,
    startup_step_reached = 1005,
    revision_accepted = 1101,
    revision_refused = 1102,
    view_unconfirmed = 1103,
    view_confirmed = 1104,
    configuration_unavailable = 1105,
    configuration_answered = 1106,
    configuration_stale = 1107,
    revision_push_corrupt = 1108,
    site_removed = 1109,
    store_source_changed = 1110,
    store_reader_failed = 1111,
    store_listed = 1112,
    store_change_ignored = 1113,
    store_restored = 1114,
    configuration_asked = 1115,
    store_page_refused = 1116,
    lease_acquired = 1201,
    lease_released = 1202,
    lease_expired = 1203,
    membership_changed = 1204,
    fleet_size_changed = 1205,
    server_listed = 1501,
    server_unlisted = 1502,
    server_drain_changed = 1503,
    server_report_stale = 1504,
    server_suspected = 1505,
    send_lost = 1506,
    server_closed = 1507,
    server_limit_changed = 1508,
    server_leaving = 1509,
    server_links_changed = 1510,
    relay_declined = 1511,
    server_taken_for_cold = 1512,
    server_condition_changed = 1513,
    server_conditions_learnt = 1514,
    server_over_connection_limit = 1515,
    request_refused = 1601,
    request_not_served = 1602,
    request_malformed = 1603,
    request_refused_after_crashes = 1701,
    request_crashed_server = 1702,
    request_cleared = 1703,
    port_not_free = 1801,
    peer_frame_refused = 1802,
    backend_frame_refused = 1803,
    log_lines_dropped = 1804,
    settings_reloaded = 1805,
    slow_reader_dropped = 1806,
    memory_pressure_changed = 1807,
    descriptor_pressure_changed = 1808,
};

} // namespace cranberrywood

#endif
