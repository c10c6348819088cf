/**
 * Messages between a VM and a backend server. Each frame carries a header
 * and then the struct that the header's kind names. src/core/messages.hpp
 * documents the fields. Ids and durations (nanoseconds) are 64-bit numbers.
 */
namespace cpp cranberrywood.wire

enum backend_message_kind {
  hello = 1,
  request = 2,
  cancel = 3,
  reply = 4,
}

struct backend_header {
  1: i32 kind
}

struct sequenced_id {
  1: i64 origin
  2: i64 sequence
}

struct hit {
  1: string key
  2: double score
  3: string text
}

struct backend_hello {
  1: i64 server
  2: i64 oldest
  3: i64 newest
  4: bool draining
}

struct backend_request {
  1: sequenced_id id
  2: i64 service_id
  3: i64 shard
  4: i64 map_version
  5: i64 index_version
  6: i64 time_left
  7: bool repeatable
  8: i32 hit_limit
  9: binary body
}

struct backend_cancel {
  1: sequenced_id id
}

struct backend_reply {
  1: sequenced_id id
  2: i8 outcome
  3: i64 index_version
  4: i64 oldest
  5: i64 newest
  6: list<hit> hits
}
