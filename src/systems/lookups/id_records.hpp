#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_ID_RECORDS_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_ID_RECORDS_HPP

#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "core/role_view.hpp"
#include "systems/lookups/record_groups.hpp"
#include "systems/servers/replica_picker.hpp"
#include "tables/id_record_table.hpp"

#include <memory>

namespace cranberrywood {

/** Queries of this class have this bit in their sequence. */
constexpr std::uint64_t id_records_bit = std::uint64_t(1) << 62;

/**
 * Records of the non-repeatable requests whose ids this VM owns. An id is
 * recorded before its single send; a resend is answered from the record. An id
 * is sent again only after every earlier send has proved that it started
 * nothing. Records of an id group are either complete for the resend window,
 * or every id that is not recorded is answered as unknown.
 */
class id_records
{
public:
    id_records(node_identity self, role_view& roles, replica_picker& picker);

    /** Takes new settings. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /**
     * Becomes the owner of an id group. Knows nothing older, unless a whole
     * hand-over has come, or comes soon, by receive_handover().
     */
    void start(role_group_id group, time_point now);

    /** Takes a part of the records of the group's last holder. */
    void receive_handover(const record_handover& part, time_point now);

    /** Is no longer the owner of a group; its records are dropped. */
    void stop(role_group_id group);

    /** Takes no new ids of a group, so that it can be handed over. */
    void drain(role_group_id group);

    /** Returns whether no request of the group is in flight. */
    bool drained(role_group_id group) const;

    /**
     * Returns all records of a drained group, in parts for its next holder,
     * and stops. Nothing may run under the group's ids after this.
     */
    std::vector<record_handover> hand_over(role_group_id group, time_point now);

    /** Runs a request at most once, or answers it from its record. */
    void receive(vm_id from, const lookup_ask& ask, time_point now,
                 outbox& out);

    /** Returns whether a query was sent by this class. */
    bool owns(query_id query) const;

    /** Takes the result of a request that this class sent. */
    void receive(vm_id from, const owner_reply& reply, time_point now,
                 outbox& out);

    /** Ends what was sent to a VM's earlier process as unknown. */
    void peer_restarted(vm_id vm, outbox& out);

    /** Ends requests whose time is over, and drops old records. */
    void tick(time_point now, outbox& out);

    /** Returns how many records are kept. */
    std::size_t size() const;

    /** Returns how many requests are in flight. */
    std::size_t in_flight() const;

private:
    void insert(role_group_id group, const std::vector<lookup_record>& list,
                time_point now);
    void insert(role_group_id group, const lookup_record& old, time_point now);
    lookup_record exported(const id_record& r, time_point now) const;

    void first_ask(const lookup_waiter& w, const lookup_ask& ask,
                   role_group_id group, time_point now, outbox& out);
    void repeated_ask(id_record& r, const lookup_waiter& w, outbox& out);
    void refuse_full(const lookup_waiter& w, const lookup_ask& ask,
                     role_group_id group, time_point now, outbox& out);

    void begin(id_record& r, const lookup_waiter& w, const lookup_ask& ask,
               time_point now, outbox& out);
    void send(id_record& r, time_point now, outbox& out);
    void take_result(id_record& r, const shard_result& result,
                     const owner_reply& reply, time_point now, outbox& out);
    void take_done(id_record& r, const owner_reply& reply, outbox& out);
    void not_started(id_record& r, const shard_result& result, time_point now,
                     outbox& out);
    void try_another(id_record& r, const shard_result& result, time_point now,
                     outbox& out);
    void end(id_record& r, lookup_outcome outcome, error_detail error,
             outbox& out);
    void refuse(id_record& r, error_detail error, outbox& out);
    void answer(id_record& r, const lookup_waiter& w, outbox& out);
    void answer_waiters(id_record& r, outbox& out);
    error_detail error_at(step at, reason why) const;
    void answer_directly(const lookup_waiter& w, const lookup_ask& ask,
                         lookup_outcome outcome, reason why, outbox& out) const;

    node_identity m_self;
    role_view& m_roles;
    replica_picker& m_picker;
    std::shared_ptr<const settings_index> m_settings;
    record_groups m_groups;
    id_record_table m_records;
    std::uint64_t m_sequence = id_records_bit;
    std::uint64_t m_handovers = 0;
    time_point m_swept_at;
};

} // namespace cranberrywood

#endif
