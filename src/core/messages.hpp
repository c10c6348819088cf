#ifndef CRANBERRYWOOD_CORE_MESSAGES_HPP
#define CRANBERRYWOOD_CORE_MESSAGES_HPP

#include "core/results.hpp"

/**
 * Messages between VMs and between a VM and a backend server. src/wire maps
 * each to its Thrift struct. No message carries a caller's key.
 */
namespace cranberrywood {

/** Asks a witness to grant or renew the leases of role groups. */
struct lease_ask
{
    std::uint64_t round = 0;
    /** Fingerprint of the VM slots that the sender's witness sets use. */
    revision_number membership;
    std::vector<role_group_id> groups;
};

/** Lease holder of a role group, as known to a witness. */
struct group_holder
{
    role_group_id group;
    vm_id holder;
};

/** A witness's answer to the lease_ask of the same round. */
struct lease_grant
{
    std::uint64_t round = 0;
    std::vector<role_group_id> granted;
    /**
     * Refused groups with their holders. A holder is unset if the witness
     * started too recently to know it.
     */
    std::vector<group_holder> refused;
};

/** Releases leases after the role has been drained. */
struct lease_release
{
    std::vector<role_group_id> groups;
    /** Last round in which the sender asked; later asks remain valid. */
    std::uint64_t round = 0;
};

/** Sent by a better-ranked VM: asks the holder to drain and release groups. */
struct role_release_request
{
    std::vector<role_group_id> groups;
};

/** Asks a witness for the holders of groups. */
struct holder_query
{
    std::vector<role_group_id> groups;
};

/** Answers a holder_query. */
struct holder_report
{
    std::vector<group_holder> holders;
};

/** Periodic liveness message to the sender's witness set. */
struct heartbeat
{
    revision_number revision;
    list_version list;
    /** The sender's view was confirmed by the platform recently. */
    bool platform_answered = false;
    bool leaving = false;
    /** Asks the receiver for a heartbeat in return. */
    bool wants_reply = false;
    /**
     * Age of the newest platform answer that confirms the sender's view,
     * received directly or through peers; zero if there is none.
     */
    duration confirmed_age{0};
    /** The sender's clock at sending, for the receiver to echo. */
    std::uint64_t mark = 0;
    /** Last mark received from the receiver; zero if none. */
    std::uint64_t echo = 0;
};

/** Asks a peer for a settings revision newer than the sender's. */
struct revision_pull
{
    revision_number have;
};

/**
 * A settings revision, whole or as a delta on a base revision. The body is
 * in the form that systems/revision_delta documents.
 */
struct revision_push
{
    revision_number revision;
    /** Revision that the delta applies to; unset when the body is whole. */
    revision_number base;
    /** Hash of the whole value after the delta. */
    std::uint64_t digest = 0;
    std::string body;
};

/**
 * Asks the home VM of a workspace for tokens and reports unspent ones. Once it
 * is sent, the sender ignores grants of earlier rounds.
 */
struct loan_ask
{
    workspace_id workspace;
    /** Increases with each ask for the workspace. */
    std::uint64_t round = 0;
    /** Tokens wanted, in thousandths of a request. */
    std::uint64_t wanted = 0;
    /** Unspent tokens that the sender keeps, in thousandths. */
    std::uint64_t held = 0;
    /** Unspent tokens that the sender returns, in thousandths. */
    std::uint64_t returned = 0;
};

/** Grants tokens that expire. */
struct loan_grant
{
    workspace_id workspace;
    std::uint64_t round = 0;
    /** Tokens granted, in thousandths of a request; may be zero. */
    std::uint64_t granted = 0;
    /**
     * Validity of the loan, counted from the time the ask was sent; zero if
     * the sender is not the home.
     */
    duration valid_for{0};
};

/** Sub-request of a query for one shard, assigned to one backend server. */
struct shard_ask
{
    sub_request_id id;
    shard_id shard;
    backend_server_id backend_server;
};

/** Sends sub-requests of a query to the owner of their backend servers. */
struct owner_request
{
    query_id query;
    workspace_id workspace;
    service_id service;
    shard_map_version map;
    index_version index;
    /** Revision under which the query was admitted. */
    revision_number revision;
    duration time_left{0};
    bool repeatable = true;
    fingerprint print;
    /** Largest number of hits that the caller wants. */
    std::uint32_t hit_limit = 0;
    std::string body;
    std::vector<shard_ask> asks;
};

/** Outcome of a sub-request for one shard. */
enum class shard_outcome : std::uint8_t
{
    /** Run successfully; its hits are merged. */
    done,
    /** Proved not started: the server or its owner was at capacity. */
    shed,
    /** Proved not started: the receiver does not own the server. */
    not_owner,
    /** Proved not started: the server does not hold the index version. */
    version_gone,
    /** Proved not started: it could not have finished by the deadline. */
    too_late,
    /** Proved not started: the server or its data centre is out of service. */
    out_of_service,
    /** Proved not started: a rule of the owner's revision forbids it. */
    rule_refused,
    /** Proved not started: cancelled before it was sent. */
    cancelled,
    /** Proved not started: servers crashed while running the same request. */
    quarantined,
    /** Run and failed at the server. */
    failed,
    /** Sent, but the connection was lost before a reply arrived. */
    unknown,
};

/** Returns whether an outcome proves that the request was not started. */
bool proves_not_started(shard_outcome o);

/** Returns the reason reported to the caller for a shard's outcome. */
reason reason_of(shard_outcome o);

/** Index versions that a backend server holds. */
struct held_versions
{
    backend_server_id backend_server;
    index_version oldest;
    index_version newest;
};

/** Result of one shard_ask. */
struct shard_result
{
    sub_request_id id;
    shard_id shard;
    backend_server_id backend_server;
    shard_outcome outcome = shard_outcome::unknown;
    /** For not_owner: holder of the group; unset if unknown. */
    vm_id owner_hint;
    /** Requests queued and running at the server, as known to its owner. */
    std::uint32_t queue_length = 0;
    /** The server is warming up and limited to its cold limit. */
    bool cold = false;
};

/** Results of some sub-requests of a query, with their hits merged. */
struct owner_reply
{
    query_id query;
    index_version index;
    std::vector<shard_result> results;
    std::vector<held_versions> versions;
    std::vector<hit> hits;
};

/** Cancels sub-requests of a query; all of them if ids is empty. */
struct owner_cancel
{
    query_id query;
    std::vector<sub_request_id> ids;
};

/** Forwards a non-repeatable request to the owner of its id. */
struct lookup_ask
{
    query_id query;
    request_id request;
    workspace_id workspace;
    service_id service;
    revision_number revision;
    duration time_left{0};
    /** Shard key of the request, in the service's key space. */
    std::uint64_t lookup_key = 0;
    std::uint32_t hit_limit = 0;
    std::string body;
};

/** Outcome of a non-repeatable request, as known to its id owner. */
enum class lookup_outcome : std::uint8_t
{
    done,
    /** The id was never sent to a backend server. */
    not_run,
    not_id_owner,
    unknown,
    failed,
};

/** Answers a lookup_ask. */
struct lookup_reply
{
    query_id query;
    request_id request;
    lookup_outcome outcome = lookup_outcome::unknown;
    error_detail error;
    coverage covers;
    std::vector<hit> hits;
};

/** Record of a non-repeatable request, handed over on graceful shutdown. */
struct lookup_record
{
    request_id request;
    lookup_outcome outcome = lookup_outcome::unknown;
    /** Time since the record was made. */
    duration age{0};
    coverage covers;
    std::vector<hit> hits;
};

/**
 * Transfers records of an id group to its next holder, in one or more parts.
 * The records are complete only once every part with the same number arrived.
 */
struct record_handover
{
    role_group_id group;
    /** Identifies the hand-over that a part belongs to. */
    std::uint64_t number = 0;
    /** Index of this part, from zero. */
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    /** Age up to which the records are complete. */
    duration complete_for{0};
    std::vector<lookup_record> records;
};

/** Reports the strike count of a request fingerprint to peers. */
struct quarantine_notice
{
    fingerprint print;
    std::uint32_t strikes = 0;
    duration valid_for{0};
    /** Shard of the server that crashed last; unset if not a single crash. */
    shard_id shard;
};

/** Messages between VMs. */
using peer_message =
    std::variant<lease_ask, lease_grant, lease_release, role_release_request,
                 holder_query, holder_report, heartbeat, revision_pull,
                 revision_push, loan_ask, loan_grant, owner_request,
                 owner_reply, owner_cancel, lookup_ask, lookup_reply,
                 record_handover, quarantine_notice>;

/**
 * A peer message with its sender. A receiver drops an envelope that is
 * addressed to another incarnation or whose sequence number it has already
 * seen.
 */
struct peer_envelope
{
    vm_id from;
    incarnation from_incarnation;
    /** Unset in a heartbeat sent before the peer's incarnation is known. */
    incarnation to_incarnation;
    std::uint64_t sequence = 0;
    peer_message body;
};

/** First message of a backend server on a new connection. */
struct backend_hello
{
    incarnation server;
    index_version oldest;
    index_version newest;
    bool draining = false;
};

/** Sub-request of a query as sent to the backend server. */
struct backend_request
{
    sub_request_id id;
    service_id service;
    shard_id shard;
    shard_map_version map;
    index_version index;
    duration time_left{0};
    bool repeatable = true;
    std::uint32_t hit_limit = 0;
    std::string body;
};

/** Cancels a request that may be queued or running. */
struct backend_cancel
{
    sub_request_id id;
};

/** Outcome of a request at a backend server. */
enum class backend_outcome : std::uint8_t
{
    done,
    /** Not started: no free slot and the queue is full. */
    shed,
    /** Not started: draining. */
    draining,
    /** Not started: the index version or shard map is not held. */
    version_gone,
    /** Not started: cancelled while waiting. */
    cancelled,
    /** Started and failed. */
    failed,
};

/** Answers a backend_request. */
struct backend_reply
{
    sub_request_id id;
    backend_outcome outcome = backend_outcome::failed;
    /** Index version that the hits come from. */
    index_version index;
    index_version oldest;
    index_version newest;
    std::vector<hit> hits;
};

} // namespace cranberrywood

#endif
