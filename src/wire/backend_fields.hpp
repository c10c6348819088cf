#ifndef CRANBERRYWOOD_WIRE_BACKEND_FIELDS_HPP
#define CRANBERRYWOOD_WIRE_BACKEND_FIELDS_HPP

#include "core/messages.hpp"
#include "wire/field_copy.hpp"
#include "wire/gen/backend_types.h"

/** Field pairs of the messages between a VM and a backend server. */
namespace cranberrywood::wire_detail {

template <class D, class Tag>
void copy_id(D& copy, typename D::template core<sequenced_id<Tag>> c,
             typename D::template wired<wire::sequenced_id> w)
{
    copy(c.origin, w.origin);
    copy(c.sequence, w.sequence);
}

template <class D>
void copy_fields(D& copy, typename D::template core<sub_request_id> c,
                 typename D::template wired<wire::sequenced_id> w)
{
    copy_id<D, struct sub_request_tag>(copy, c, w);
}

template <class D>
void copy_fields(D& copy, typename D::template core<hit> c,
                 typename D::template wired<wire::hit> w)
{
    copy(c.key, w.key);
    copy(c.score, w.score);
    copy(c.text, w.text);
}

template <class D>
void copy_fields(D& copy, typename D::template core<backend_hello> c,
                 typename D::template wired<wire::backend_hello> w)
{
    copy(c.server, w.server);
    copy(c.oldest, w.oldest);
    copy(c.newest, w.newest);
    copy(c.draining, w.draining);
}

template <class D>
void copy_fields(D& copy, typename D::template core<backend_request> c,
                 typename D::template wired<wire::backend_request> w)
{
    copy(c.id, w.id);
    copy(c.service, w.service_id);
    copy(c.shard, w.shard);
    copy(c.map, w.map_version);
    copy(c.index, w.index_version);
    copy(c.time_left, w.time_left);
    copy(c.repeatable, w.repeatable);
    copy(c.hit_limit, w.hit_limit);
    copy(c.body, w.body);
}

template <class D>
void copy_fields(D& copy, typename D::template core<backend_cancel> c,
                 typename D::template wired<wire::backend_cancel> w)
{
    copy(c.id, w.id);
}

template <class D>
void copy_fields(D& copy, typename D::template core<backend_reply> c,
                 typename D::template wired<wire::backend_reply> w)
{
    copy(c.id, w.id);
    copy.choice(c.outcome, w.outcome, backend_outcome::failed);
    copy(c.index, w.index_version);
    copy(c.oldest, w.oldest);
    copy(c.newest, w.newest);
    copy(c.hits, w.hits);
}

} // namespace cranberrywood::wire_detail

#endif
