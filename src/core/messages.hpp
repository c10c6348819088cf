#ifndef CRANBERRYWOOD_CORE_MESSAGES_HPP
#define CRANBERRYWOOD_CORE_MESSAGES_HPP

#include "core/results.hpp"

/**
 * Messages between VMs and between a VM and a backend server, as the core
 * sees them. src/wire maps each to its Thrift form. No message has a field
 * for a caller's key.
 */
namespace cranberrywood {

// Role leases -------------------------------------------------------------

/** Asks a witness to grant or renew the leases of role groups. */
struct lease_ask
{
    std::uint64_t round = 0;
    /** Fingerprint revision of the VM slots that the asker's sets use. */
    revision_number membership;
    std::vector<role_group_id> groups;
};

/** Holder of a role group as its witness knows it. */
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
    /** Refused groups; the holder is unset when the witness is too young. */
    std::vector<group_holder> refused;
};

/** Gives up leases, after the role has been drained. */
struct lease_release
{
    std::vector<role_group_id> groups;
    /** Last round in which the sender asked; later asks stay valid. */
    std::uint64_t round = 0;
};

/** A better-ranked VM asks the holder to drain and release groups. */
struct role_release_request
{
    std::vector<role_group_id> groups;
};

/** Asks a witness who holds groups. */
struct holder_query
{
    std::vector<role_group_id> groups;
};

/** Answers a holder_query. */
struct holder_report
{
    std::vector<group_holder> holders;
};

// Views and settings ------------------------------------------------------

/** Periodic sign of life to the sender's witness set. */
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
     * Age of the newest answer of the platform that the sender's view rests
     * on, its own or one that peers passed on; zero when there is none.
     */
    duration confirmed_age{0};
    /** The sender's clock at sending, for the receiver to echo. */
    std::uint64_t mark = 0;
    /** Last mark that came from the receiver; zero when none. */
    std::uint64_t echo = 0;
};

/** Asks a peer for a newer settings revision than the one it has. */
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

// Rates -------------------------------------------------------------------

/**
 * Asks a workspace's home for tokens and reports those that are left. The
 * sender takes no grant of an earlier round after it has sent this ask.
 */
struct loan_ask
{
    workspace_id workspace;
    /** Grows with each ask about the workspace. */
    std::uint64_t round = 0;
    /** Tokens wanted, in thousandths of a request. */
    std::uint64_t wanted = 0;
    /** Unspent tokens that the sender keeps, in thousandths. */
    std::uint64_t held = 0;
    /** Unspent tokens that the sender gives back, in thousandths. */
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
     * Life of the loan, counted from the sending of the ask; zero when the
     * sender is not the home.
     */
    duration valid_for{0};
};

// Queries -----------------------------------------------------------------

/** One shard's part of a query, bound to one backend server. */
struct shard_ask
{
    sub_request_id id;
    shard_id shard;
    backend_server_id backend_server;
};

/** Sends parts of a query to the owner of their backend servers. */
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
    /** Most hits that the caller wants. */
    std::uint32_t hit_limit = 0;
    std::string body;
    std::vector<shard_ask> asks;
};

/** How one shard's part of a query ended. */
enum class shard_outcome : std::uint8_t
{
    /** Run; its hits are merged. */
    done,
    /** Proved not started: the server or its owner had no room. */
    shed,
    /** Proved not started: the receiver does not own the server. */
    not_owner,
    /** Proved not started: the server does not hold the index version. */
    version_gone,
    /** Proved not started: it could not have returned in time. */
    too_late,
    /** Proved not started: the server or its data centre is out. */
    out_of_service,
    /** Proved not started: a rule of the owner's revision forbids it. */
    rule_refused,
    /** Proved not started: cancelled before it was sent. */
    cancelled,
    /** Proved not started: servers died under the same request. */
    quarantined,
    /** Run and failed at the server. */
    failed,
    /** Sent, and the link was lost before a reply. */
    unknown,
};

/** Returns whether an outcome proves that the server started nothing. */
bool proves_not_started(shard_outcome o);

/** Returns the reason that a caller is given for a shard's outcome. */
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
    /** Holder of the group with not_owner; unset when not known. */
    vm_id owner_hint;
    /** Requests waiting and running at the server, as its owner saw it. */
    std::uint32_t queue_length = 0;
    /** The server answers below its cold limit only. */
    bool cold = false;
};

/** Results of some parts of a query, with their hits merged. */
struct owner_reply
{
    query_id query;
    index_version index;
    std::vector<shard_result> results;
    std::vector<held_versions> versions;
    std::vector<hit> hits;
};

/** Cancels parts of a query; all of it when ids is empty. */
struct owner_cancel
{
    query_id query;
    std::vector<sub_request_id> ids;
};

// Non-repeatable requests -------------------------------------------------

/** Hands a non-repeatable request to the owner of its id. */
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

/** How a non-repeatable request ended, as its id owner knows it. */
enum class lookup_outcome : std::uint8_t
{
    done,
    /** No backend server was given the id, now or earlier. */
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

/** Record of a non-repeatable request, handed over on a graceful leave. */
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
 * Hands records of an id group to its next holder, in one or more parts. The
 * records are whole only when every part of the same number has come.
 */
struct record_handover
{
    role_group_id group;
    /** Tells the parts of two hand-overs apart. */
    std::uint64_t number = 0;
    /** Index of this part, from zero. */
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    /** How far back the records are complete. */
    duration complete_for{0};
    std::vector<lookup_record> records;
};

// Requests that crash servers ---------------------------------------------

/** Tells peers the strikes against a request fingerprint. */
struct quarantine_notice
{
    fingerprint print;
    std::uint32_t strikes = 0;
    duration valid_for{0};
    /** Shard of the server that died last; unset when it is not one death. */
    shard_id shard;
};

/** Everything that one VM sends to another. */
using peer_message =
    std::variant<lease_ask, lease_grant, lease_release, role_release_request,
                 holder_query, holder_report, heartbeat, revision_pull,
                 revision_push, loan_ask, loan_grant, owner_request,
                 owner_reply, owner_cancel, lookup_ask, lookup_reply,
                 record_handover, quarantine_notice>;

/**
 * A peer message with its sender. A receiver drops an envelope for another
 * incarnation than its own, and one whose sequence it has seen before.
 */
struct peer_envelope
{
    vm_id from;
    incarnation from_incarnation;
    /** Unset in a heartbeat that is sent before the peer is known. */
    incarnation to_incarnation;
    std::uint64_t sequence = 0;
    peer_message body;
};

// Backend servers ---------------------------------------------------------

/** First message of a backend server on a new connection. */
struct backend_hello
{
    incarnation server;
    index_version oldest;
    index_version newest;
    bool draining = false;
};

/** One shard's part of a query as the backend server gets it. */
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

/** Cancels a request that may be waiting or running. */
struct backend_cancel
{
    sub_request_id id;
};

/** How a backend server answers a request. */
enum class backend_outcome : std::uint8_t
{
    done,
    /** Not started: no free slot and no room in its queue. */
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
    /** Index version that the hits are of. */
    index_version index;
    index_version oldest;
    index_version newest;
    std::vector<hit> hits;
};

} // namespace cranberrywood

#endif
