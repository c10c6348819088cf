/**
 * Datagrams between gateways, and updates of the store's items that a reader
 * passes on. src/core/gateway_datagram.hpp and
 * src/systems/store/store_mirror.hpp document the fields. Ids and durations (nanoseconds) are 64-bit numbers.
 */
namespace cpp cranberrywood.wire

struct member_hint {
  1: string address
  2: i64 age
}

/** A member hint: IPv4 address and port as one number, age in milliseconds. */
struct packed_member {
  1: i64 address
  2: i32 age_ms
}

struct token_ask {
  1: i64 ask
  2: i64 workspace
  3: i64 tokens
}

struct token_grant {
  1: i64 ask
  2: i64 workspace
  3: i64 tokens
  4: i64 term
}

struct server_suspicion {
  1: i64 server
  2: i64 term
  3: i8 cause
  4: i64 sent_age
}

struct server_condition_report {
  1: i64 server
  2: bool impaired
  3: bool failing
  4: i32 latency_ms
  5: i32 age_ms
  6: bool usual_answer
}

struct crash_report {
  1: i64 request_print
  2: i64 server
  3: i64 service_id
  4: i64 sent_age
  5: i64 lost_age
  6: i32 strike
}

struct crash_clearance {
  1: i64 request_print
  2: i64 service_id
  3: i64 sent_age
}

struct server_limit_report {
  1: i64 server
  2: bool limited
  3: i64 milli_per_second
  4: i64 age
}

struct gateway_datagram {
  1: i64 process
  2: i32 fleet_size
  3: bool settled
  // Read for VMs of earlier versions; packed_members is written instead.
  4: list<member_hint> members
  5: list<token_ask> asks
  6: list<token_grant> grants
  7: list<server_suspicion> suspicions
  8: list<packed_member> packed_members
  9: list<crash_report> crashes
  10: list<crash_clearance> clearances
  11: list<server_limit_report> limits
  12: bool accepts_relays
  13: i64 settings_version
  14: bool fleet_unconfirmed
  15: i64 data_centre
  16: list<server_condition_report> conditions
}

struct mirrored_item {
  1: string key
  2: i64 revision
  3: bool removed
  4: binary bytes
  5: i64 era
}

struct mirror_update {
  1: i64 place
  2: i64 process
  3: bool whole
  4: bool store_steady
  5: list<mirrored_item> items
  6: i64 at
  7: bool store_reachable
  8: i64 at_era
}

struct relay_request {
  1: i64 service_id
  2: list<i64> tried
  3: bool extra_send
  4: i64 request_print
  5: i64 deadline
  6: bool repeatable
  7: string workspace
  8: string request_id
  9: string method
  10: string target
  11: string header_lines
  12: binary body
}

/** Either a fault or an answer; optional fields are unset if not said. */
struct relay_result {
  1: i64 server
  2: optional i8 fault
  3: i32 status
  4: bool not_run
  5: bool misdirected
  6: bool leaving
  7: string receipt
  8: optional i64 cold_remaining
  9: optional i64 retry_after
  10: optional double server_limit
  11: string header_lines
  12: binary body
}
