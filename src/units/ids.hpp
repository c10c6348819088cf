#ifndef CRANBERRYWOOD_UNITS_IDS_HPP
#define CRANBERRYWOOD_UNITS_IDS_HPP

#include "units/strong_value.hpp"

#include <string_view>
#include <utility>

namespace cranberrywood {

/**
 * Ids of named entities are 64-bit hashes of their names, so that VMs that
 * run different settings revisions agree on them. The settings check refuses
 * names whose ids collide.
 */
using vm_id = strong_value<struct vm_tag, std::uint64_t>;
using data_centre_id = strong_value<struct data_centre_tag, std::uint64_t>;
using workspace_id = strong_value<struct workspace_tag, std::uint64_t>;
using service_id = strong_value<struct service_tag, std::uint64_t>;
using shard_id = strong_value<struct shard_tag, std::uint64_t>;
using backend_server_id =
    strong_value<struct backend_server_tag, std::uint64_t>;

/** A group of roles (owner, home, id owner) that is leased as a unit. */
using role_group_id = strong_value<struct role_group_tag, std::uint64_t>;

/** Random number that a process chooses at its start; never zero. */
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

/** Number of a published settings revision; increases with each one. */
using revision_number = strong_value<struct revision_tag, std::uint64_t>;
/** Number of a published VM list; increases with each one. */
using list_version = strong_value<struct list_version_tag, std::uint64_t>;
using index_version = strong_value<struct index_version_tag, std::uint64_t>;
using shard_map_version =
    strong_value<struct shard_map_version_tag, std::uint64_t>;

/** Hash of workspace, service and body; equal for identical requests. */
using fingerprint = strong_value<struct fingerprint_tag, std::uint64_t>;
/** What makes two requests of one workspace equal, apart from their ids. */
struct request_content
{
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/** Handle of a waiting caller, assigned by this process's front end. */
using caller_token = strong_value<struct caller_token_tag, std::uint64_t>;

/** One send of a request to a backend server, within one process. */
using exchange_id = strong_value<struct exchange_tag, std::uint64_t>;
/** A route of the operator's configuration, identified by its name. */
using route_id = strong_value<struct route_tag, std::uint64_t>;

/** Unique id: the incarnation of its creator and a sequence number. */
template <class Tag>
struct sequenced_id
{
    incarnation origin;
    std::uint64_t sequence = 0;

    friend bool operator==(const sequenced_id& a, const sequenced_id& b)
    {
        return a.origin == b.origin && a.sequence == b.sequence;
    }
    friend bool operator!=(const sequenced_id& a, const sequenced_id& b)
    {
        return !(a == b);
    }
    friend bool operator<(const sequenced_id& a, const sequenced_id& b)
    {
        return a.origin != b.origin ? a.origin < b.origin
                                    : a.sequence < b.sequence;
    }
};

using query_id = sequenced_id<struct query_tag>;
using sub_request_id = sequenced_id<struct sub_request_tag>;

/** Identity of a non-repeatable request: hash of workspace and caller's id. */
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const request_id& a, const request_id& b)
    {
        return a.high == b.high && a.low == b.low;
    }
    friend bool operator!=(const request_id& a, const request_id& b)
    {
        return !(a == b);
    }
    friend bool operator<(const request_id& a, const request_id& b)
    {
        return a.high != b.high ? a.high < b.high : a.low < b.low;
    }
};

/** Returns a stable 64-bit hash of the bytes; the same on every machine. */
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/** Returns a stable hash of two numbers, as used for rendezvous hashing. */
std::uint64_t stable_hash(std::uint64_t a, std::uint64_t b);

/** Returns the id of a named entity. Id is a type whose ids hash names. */
template <class Id>
Id id_of(std::string_view name)
{
    return Id(stable_hash(name));
}

/** Returns the id of a shard from the names of its service and shard. */
shard_id shard_id_of(std::string_view service, std::string_view shard);

/** Returns the identity of a request from its workspace and caller's id. */
request_id request_id_of(workspace_id workspace, std::string_view caller_id);

/** Returns the fingerprint of a request. */
fingerprint fingerprint_of(workspace_id workspace, service_id service,
                           std::string_view body);

/** Returns the fingerprint of a request that is forwarded as it came. */
fingerprint fingerprint_of(workspace_id workspace,
                           const request_content& content);

} // namespace cranberrywood

template <class Tag>
struct std::hash<cranberrywood::sequenced_id<Tag>>
{
    std::size_t operator()(const cranberrywood::sequenced_id<Tag>& id) const
    {
        return std::hash<std::uint64_t>()(id.origin.value() * 31 + id.sequence);
    }
};

template <>
struct std::hash<cranberrywood::request_id>
{
    std::size_t operator()(const cranberrywood::request_id& id) const
    {
        return std::hash<std::uint64_t>()(id.high ^ id.low);
    }
};

#endif
