/**
 * Messages between VMs. Each frame carries a header and then the struct that
 * the header's kind names. src/core/messages.hpp documents the fields. Ids
 * and durations (nanoseconds) are 64-bit numbers.
 */
include "backend.thrift"

namespace cpp cranberrywood.wire

enum peer_message_kind {
  lease_ask = 1,
  lease_grant = 2,
  lease_release = 3,
  role_wish = 4,
  holder_query = 5,
  holder_report = 6,
  heartbeat = 7,
  revision_pull = 8,
  revision_push = 9,
  loan_ask = 10,
  loan_grant = 11,
  owner_request = 12,
  owner_reply = 13,
  owner_cancel = 14,
  lookup_ask = 15,
  lookup_reply = 16,
  record_handover = 17,
  quarantine_notice = 18,
}

struct peer_header {
  1: i32 kind
  2: i64 sender
  3: i64 from_incarnation
  4: i64 to_incarnation
  5: i64 sequence
}

struct request_id {
  1: i64 high
  2: i64 low
}

struct error_detail {
  1: i8 at
  2: i8 why
  3: i64 peer
  4: i64 backend_server
  5: string field
}

struct shard_coverage {
  1: i64 shard
  2: i64 first_key
  3: i64 last_key
  4: bool covered
  5: bool left_out_by_rule
}

struct coverage {
  1: i64 map_version
  2: i64 index_version
  3: i64 covered_keys
  4: i64 total_keys
  5: list<shard_coverage> shards
}

struct lease_ask {
  1: i64 round
  2: i64 membership
  3: list<i64> groups
}

struct group_holder {
  1: i64 group
  2: i64 holder
}

struct lease_grant {
  1: i64 round
  2: list<i64> granted
  3: list<group_holder> refused
}

struct lease_release {
  1: list<i64> groups
  2: i64 round
}

struct role_wish {
  1: list<i64> groups
}

struct holder_query {
  1: list<i64> groups
}

struct holder_report {
  1: list<group_holder> holders
}

struct heartbeat {
  1: i64 revision
  2: i64 list_version
  3: bool platform_answered
  4: bool leaving
  5: bool wants_reply
  6: i64 confirmed_age
  7: i64 mark
  8: i64 echo
}

struct revision_pull {
  1: i64 have
}

struct revision_push {
  1: i64 revision
  2: i64 base
  3: i64 digest
  4: binary body
}

struct loan_ask {
  1: i64 workspace
  2: i64 round
  3: i64 wanted
  4: i64 held
  5: i64 returned
}

struct loan_grant {
  1: i64 workspace
  2: i64 round
  3: i64 granted
  4: i64 valid_for
}

struct shard_ask {
  1: backend.sequenced_id id
  2: i64 shard
  3: i64 backend_server
}

struct owner_request {
  1: backend.sequenced_id query_id
  2: i64 workspace
  3: i64 service_id
  4: i64 map_version
  5: i64 index_version
  6: i64 revision
  7: i64 time_left
  8: bool repeatable
  9: i64 request_print
  10: i32 hit_limit
  11: binary body
  12: list<shard_ask> asks
}

struct held_versions {
  1: i64 backend_server
  2: i64 oldest
  3: i64 newest
}

struct shard_result {
  1: backend.sequenced_id id
  2: i64 shard
  3: i64 backend_server
  4: i8 outcome
  5: i64 owner_hint
  6: i32 queue_length
  7: bool cold
}

struct owner_reply {
  1: backend.sequenced_id query_id
  2: i64 index_version
  3: list<shard_result> results
  4: list<held_versions> versions
  5: list<backend.hit> hits
}

struct owner_cancel {
  1: backend.sequenced_id query_id
  2: list<backend.sequenced_id> ids
}

struct lookup_ask {
  1: backend.sequenced_id query_id
  2: request_id request
  3: i64 workspace
  4: i64 service_id
  5: i64 revision
  6: i64 time_left
  7: i64 lookup_key
  8: i32 hit_limit
  9: binary body
}

struct lookup_reply {
  1: backend.sequenced_id query_id
  2: request_id request
  3: i8 outcome
  4: error_detail error
  5: coverage covers
  6: list<backend.hit> hits
}

struct lookup_record {
  1: request_id request
  2: i8 outcome
  3: i64 age
  4: coverage covers
  5: list<backend.hit> hits
}

struct record_handover {
  1: i64 group
  2: i64 number
  3: i32 part
  4: i32 parts
  5: i64 complete_for
  6: list<lookup_record> records
}

struct quarantine_notice {
  1: i64 request_print
  2: i32 strikes
  3: i64 valid_for
  4: i64 shard
}
