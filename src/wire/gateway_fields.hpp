#ifndef CRANBERRYWOOD_WIRE_GATEWAY_FIELDS_HPP
#define CRANBERRYWOOD_WIRE_GATEWAY_FIELDS_HPP

#include "core/gateway_datagram.hpp"
#include "systems/store/store_mirror.hpp"
#include "wire/field_copy.hpp"
#include "wire/gen/gateway_types.h"

/** Field pairs of the datagrams between gateways. */
namespace cranberrywood::wire_detail {

template <class D>
void copy_fields(D& copy, typename D::template core<member_hint> c,
                 typename D::template wired<wire::member_hint> w)
{
    copy(c.address, w.address);
    copy(c.age, w.age);
}

template <class D>
void copy_fields(D& copy, typename D::template core<member_hint> c,
                 typename D::template wired<wire::packed_member> w)
{
    copy.address(c.address, w.address);
    copy.milliseconds(c.age, w.age_ms);
}

template <class D>
void copy_fields(D& copy, typename D::template core<token_ask> c,
                 typename D::template wired<wire::token_ask> w)
{
    copy(c.ask, w.ask);
    copy(c.workspace, w.workspace);
    copy(c.tokens, w.tokens);
}

template <class D>
void copy_fields(D& copy, typename D::template core<token_grant> c,
                 typename D::template wired<wire::token_grant> w)
{
    copy(c.ask, w.ask);
    copy(c.workspace, w.workspace);
    copy(c.tokens, w.tokens);
    copy(c.term, w.term);
}

template <class D>
void copy_fields(D& copy, typename D::template core<server_suspicion> c,
                 typename D::template wired<wire::server_suspicion> w)
{
    copy(c.server, w.server);
    copy(c.term, w.term);
    copy.choice(c.cause, w.cause, suspicion_cause::failed);
    copy(c.sent_age, w.sent_age);
}

template <class D>
void copy_fields(D& copy, typename D::template core<server_condition_report> c,
                 typename D::template wired<wire::server_condition_report> w)
{
    copy(c.server, w.server);
    copy(c.impaired, w.impaired);
    copy(c.failing, w.failing);
    copy.milliseconds(c.latency, w.latency_ms);
    copy.milliseconds(c.age, w.age_ms);
    copy(c.usual_answer, w.usual_answer);
}

template <class D>
void copy_fields(D& copy, typename D::template core<crash_report> c,
                 typename D::template wired<wire::crash_report> w)
{
    copy(c.print, w.request_print);
    copy(c.server, w.server);
    copy(c.service, w.service_id);
    copy(c.sent_age, w.sent_age);
    copy(c.lost_age, w.lost_age);
    copy(c.strike, w.strike);
}

template <class D>
void copy_fields(D& copy, typename D::template core<crash_clearance> c,
                 typename D::template wired<wire::crash_clearance> w)
{
    copy(c.print, w.request_print);
    copy(c.service, w.service_id);
    copy(c.sent_age, w.sent_age);
}

template <class D>
void copy_fields(D& copy, typename D::template core<server_limit_report> c,
                 typename D::template wired<wire::server_limit_report> w)
{
    copy(c.server, w.server);
    copy(c.limited, w.limited);
    copy(c.milli_per_second, w.milli_per_second);
    copy(c.age, w.age);
}

template <class D>
void copy_fields(D& copy, typename D::template core<gateway_datagram> c,
                 typename D::template wired<wire::gateway_datagram> w)
{
    copy(c.process, w.process);
    copy(c.fleet_size, w.fleet_size);
    copy(c.settled, w.settled);
    copy(c.accepts_relays, w.accepts_relays);
    copy(c.settings_version, w.settings_version);
    copy(c.fleet_unconfirmed, w.fleet_unconfirmed);
    copy(c.data_centre, w.data_centre);
    copy(c.members, w.packed_members);
    copy.append(c.members, w.members);
    copy(c.asks, w.asks);
    copy(c.grants, w.grants);
    copy(c.suspicions, w.suspicions);
    copy(c.conditions, w.conditions);
    copy(c.crashes, w.crashes);
    copy(c.clearances, w.clearances);
    copy(c.limits, w.limits);
}

template <class D>
void copy_fields(D& copy, typename D::template core<mirrored_item> c,
                 typename D::template wired<wire::mirrored_item> w)
{
    copy(c.key, w.key);
    copy(c.position.revision, w.revision);
    copy(c.position.era, w.era);
    copy(c.removed, w.removed);
    copy(c.bytes, w.bytes);
}

template <class D>
void copy_fields(D& copy, typename D::template core<mirror_update> c,
                 typename D::template wired<wire::mirror_update> w)
{
    copy(c.place, w.place);
    copy(c.process, w.process);
    copy(c.whole, w.whole);
    copy(c.at.revision, w.at);
    copy(c.at.era, w.at_era);
    copy(c.store_reachable, w.store_reachable);
    copy(c.store_steady, w.store_steady);
    copy(c.items, w.items);
}

} // namespace cranberrywood::wire_detail

#endif
