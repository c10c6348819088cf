#ifndef CRANBERRYWOOD_WIRE_PEER_FIELDS_HPP
#define CRANBERRYWOOD_WIRE_PEER_FIELDS_HPP

#include "wire/backend_fields.hpp"
#include "wire/gen/peer_types.h"

/** Field pairs of the messages between VMs. */
namespace cranberrywood::wire_detail {

template <class D>
void copy_fields(D& copy, typename D::template core<query_id> c,
                 typename D::template wired<wire::sequenced_id> w)
{
    copy_id<D, struct query_tag>(copy, c, w);
}

template <class D>
void copy_fields(D& copy, typename D::template core<request_id> c,
                 typename D::template wired<wire::request_id> w)
{
    copy(c.high, w.high);
    copy(c.low, w.low);
}

template <class D>
void copy_fields(D& copy, typename D::template core<error_detail> c,
                 typename D::template wired<wire::error_detail> w)
{
    copy.choice(c.at, w.at, step::shutdown);
    copy.choice(c.why, w.why, reason::caller_gone);
    copy(c.peer, w.peer);
    copy(c.backend_server, w.backend_server);
    copy(c.field, w.field);
}

template <class D>
void copy_fields(D& copy, typename D::template core<shard_coverage> c,
                 typename D::template wired<wire::shard_coverage> w)
{
    copy(c.shard, w.shard);
    copy(c.first_key, w.first_key);
    copy(c.last_key, w.last_key);
    copy(c.covered, w.covered);
    copy(c.left_out_by_rule, w.left_out_by_rule);
}

template <class D>
void copy_fields(D& copy, typename D::template core<coverage> c,
                 typename D::template wired<wire::coverage> w)
{
    copy(c.map, w.map_version);
    copy(c.index, w.index_version);
    copy(c.covered_keys, w.covered_keys);
    copy(c.total_keys, w.total_keys);
    copy(c.shards, w.shards);
}

template <class D>
void copy_fields(D& copy, typename D::template core<lease_ask> c,
                 typename D::template wired<wire::lease_ask> w)
{
    copy(c.round, w.round);
    copy(c.membership, w.membership);
    copy(c.groups, w.groups);
}

template <class D>
void copy_fields(D& copy, typename D::template core<group_holder> c,
                 typename D::template wired<wire::group_holder> w)
{
    copy(c.group, w.group);
    copy(c.holder, w.holder);
}

template <class D>
void copy_fields(D& copy, typename D::template core<lease_grant> c,
                 typename D::template wired<wire::lease_grant> w)
{
    copy(c.round, w.round);
    copy(c.granted, w.granted);
    copy(c.refused, w.refused);
}

template <class D>
void copy_fields(D& copy, typename D::template core<lease_release> c,
                 typename D::template wired<wire::lease_release> w)
{
    copy(c.groups, w.groups);
    copy(c.round, w.round);
}

template <class D>
void copy_fields(D& copy, typename D::template core<role_release_request> c,
                 typename D::template wired<wire::role_wish> w)
{
    copy(c.groups, w.groups);
}

template <class D>
void copy_fields(D& copy, typename D::template core<holder_query> c,
                 typename D::template wired<wire::holder_query> w)
{
    copy(c.groups, w.groups);
}

template <class D>
void copy_fields(D& copy, typename D::template core<holder_report> c,
                 typename D::template wired<wire::holder_report> w)
{
    copy(c.holders, w.holders);
}

template <class D>
void copy_fields(D& copy, typename D::template core<heartbeat> c,
                 typename D::template wired<wire::heartbeat> w)
{
    copy(c.revision, w.revision);
    copy(c.list, w.list_version);
    copy(c.platform_answered, w.platform_answered);
    copy(c.leaving, w.leaving);
    copy(c.wants_reply, w.wants_reply);
    copy(c.confirmed_age, w.confirmed_age);
    copy(c.mark, w.mark);
    copy(c.echo, w.echo);
}

template <class D>
void copy_fields(D& copy, typename D::template core<revision_pull> c,
                 typename D::template wired<wire::revision_pull> w)
{
    copy(c.have, w.have);
}

template <class D>
void copy_fields(D& copy, typename D::template core<revision_push> c,
                 typename D::template wired<wire::revision_push> w)
{
    copy(c.revision, w.revision);
    copy(c.base, w.base);
    copy(c.digest, w.digest);
    copy(c.body, w.body);
}

template <class D>
void copy_fields(D& copy, typename D::template core<loan_ask> c,
                 typename D::template wired<wire::loan_ask> w)
{
    copy(c.workspace, w.workspace);
    copy(c.round, w.round);
    copy(c.wanted, w.wanted);
    copy(c.held, w.held);
    copy(c.returned, w.returned);
}

template <class D>
void copy_fields(D& copy, typename D::template core<loan_grant> c,
                 typename D::template wired<wire::loan_grant> w)
{
    copy(c.workspace, w.workspace);
    copy(c.round, w.round);
    copy(c.granted, w.granted);
    copy(c.valid_for, w.valid_for);
}

template <class D>
void copy_fields(D& copy, typename D::template core<shard_ask> c,
                 typename D::template wired<wire::shard_ask> w)
{
    copy(c.id, w.id);
    copy(c.shard, w.shard);
    copy(c.backend_server, w.backend_server);
}

template <class D>
void copy_fields(D& copy, typename D::template core<owner_request> c,
                 typename D::template wired<wire::owner_request> w)
{
    copy(c.query, w.query_id);
    copy(c.workspace, w.workspace);
    copy(c.service, w.service_id);
    copy(c.map, w.map_version);
    copy(c.index, w.index_version);
    copy(c.revision, w.revision);
    copy(c.time_left, w.time_left);
    copy(c.repeatable, w.repeatable);
    copy(c.print, w.request_print);
    copy(c.hit_limit, w.hit_limit);
    copy(c.body, w.body);
    copy(c.asks, w.asks);
}

template <class D>
void copy_fields(D& copy, typename D::template core<held_versions> c,
                 typename D::template wired<wire::held_versions> w)
{
    copy(c.backend_server, w.backend_server);
    copy(c.oldest, w.oldest);
    copy(c.newest, w.newest);
}

template <class D>
void copy_fields(D& copy, typename D::template core<shard_result> c,
                 typename D::template wired<wire::shard_result> w)
{
    copy(c.id, w.id);
    copy(c.shard, w.shard);
    copy(c.backend_server, w.backend_server);
    copy.choice(c.outcome, w.outcome, shard_outcome::unknown);
    copy(c.owner_hint, w.owner_hint);
    copy(c.queue_length, w.queue_length);
    copy(c.cold, w.cold);
}

template <class D>
void copy_fields(D& copy, typename D::template core<owner_reply> c,
                 typename D::template wired<wire::owner_reply> w)
{
    copy(c.query, w.query_id);
    copy(c.index, w.index_version);
    copy(c.results, w.results);
    copy(c.versions, w.versions);
    copy(c.hits, w.hits);
}

template <class D>
void copy_fields(D& copy, typename D::template core<owner_cancel> c,
                 typename D::template wired<wire::owner_cancel> w)
{
    copy(c.query, w.query_id);
    copy(c.ids, w.ids);
}

template <class D>
void copy_fields(D& copy, typename D::template core<lookup_ask> c,
                 typename D::template wired<wire::lookup_ask> w)
{
    copy(c.query, w.query_id);
    copy(c.request, w.request);
    copy(c.workspace, w.workspace);
    copy(c.service, w.service_id);
    copy(c.revision, w.revision);
    copy(c.time_left, w.time_left);
    copy(c.lookup_key, w.lookup_key);
    copy(c.hit_limit, w.hit_limit);
    copy(c.body, w.body);
}

template <class D>
void copy_fields(D& copy, typename D::template core<lookup_reply> c,
                 typename D::template wired<wire::lookup_reply> w)
{
    copy(c.query, w.query_id);
    copy(c.request, w.request);
    copy.choice(c.outcome, w.outcome, lookup_outcome::failed);
    copy(c.error, w.error);
    copy(c.covers, w.covers);
    copy(c.hits, w.hits);
}

template <class D>
void copy_fields(D& copy, typename D::template core<lookup_record> c,
                 typename D::template wired<wire::lookup_record> w)
{
    copy(c.request, w.request);
    copy.choice(c.outcome, w.outcome, lookup_outcome::failed);
    copy(c.age, w.age);
    copy(c.covers, w.covers);
    copy(c.hits, w.hits);
}

template <class D>
void copy_fields(D& copy, typename D::template core<record_handover> c,
                 typename D::template wired<wire::record_handover> w)
{
    copy(c.group, w.group);
    copy(c.number, w.number);
    copy(c.part, w.part);
    copy(c.parts, w.parts);
    copy(c.complete_for, w.complete_for);
    copy(c.records, w.records);
}

template <class D>
void copy_fields(D& copy, typename D::template core<quarantine_notice> c,
                 typename D::template wired<wire::quarantine_notice> w)
{
    copy(c.print, w.request_print);
    copy(c.strikes, w.strikes);
    copy(c.valid_for, w.valid_for);
    copy(c.shard, w.shard);
}

} // namespace cranberrywood::wire_detail

#endif
