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

/** Set in the sequence of every query sent by this class. */
constexpr std::uint64_t id_records_bit = std::uint64_t(1) << 62;

/**
 * Deduplicates non-repeatable requests whose ids this VM owns. An id is
 * recorded before its request is sent to a backend server, and a resend by the
 * caller is answered from the record. A request is sent again only after proof
 * that no earlier send started it. Either the records of an id group are
 * complete for the resend window, or every id without a record is answered as
 * unknown.
 */
class id_records
{
public:
    id_records(node_identity self, role_view& roles, replica_picker& picker);

    /** Applies new settings. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /**
     * Becomes the owner of an id group. Has no earlier records unless a
     * complete hand-over has arrived, or arrives soon, in receive_handover().
     */
    void start(role_group_id group, time_point now);

    /** Adds one part of a hand-over of records by the group's last holder. */
    void receive_handover(const record_handover& part, time_point now);

    /** Ends the ownership of a group and drops its records. */
    void stop(role_group_id group);

    /** Accepts no new ids of a group, so that it can be handed over. */
    void drain(role_group_id group);

    /** Returns whether no request of the group is in flight. */
    bool drained(role_group_id group) const;

    /**
     * Ends the ownership of a drained group and returns its records in parts
     * for the next holder. No request of the group may run after this.
     */
    std::vector<record_handover> hand_over(role_group_id group, time_point now);

    /** Sends a request at most once, or answers it from its record. */
    void receive(vm_id from, const lookup_ask& ask, time_point now,
                 outbox& out);

    /** Returns whether a query was sent by this class. */
    bool owns(query_id query) const;

    /** Handles the result of a request that this class sent. */
    void receive(vm_id from, const owner_reply& reply, time_point now,
                 outbox& out);

    /** Ends requests sent to a VM's previous process as unknown. */
    void peer_restarted(vm_id vm, outbox& out);

    /** Ends requests past their deadline and drops expired records. */
    void tick(time_point now, outbox& out);

    /** Returns the number of records. */
    std::size_t size() const;

    /** Returns the number of requests in flight. */
    std::size_t in_flight() const;

private:
    void insert(role_group_id group, const std::vector<lookup_record>& list,
                time_point now);
    void insert(role_group_id group, const lookup_record& old, time_point now);
    lookup_record export_record(const id_record& r, time_point now) const;

    void handle_first_ask(const lookup_waiter& w, const lookup_ask& ask,
                          role_group_id group, time_point now, outbox& out);
    void handle_repeated_ask(id_record& r, const lookup_waiter& w, outbox& out);
    void refuse_over_capacity(const lookup_waiter& w, const lookup_ask& ask,
                              role_group_id group, time_point now, outbox& out);

    void begin(id_record& r, const lookup_waiter& w, const lookup_ask& ask,
               time_point now, outbox& out);
    void send(id_record& r, time_point now, outbox& out);
    void handle_result(id_record& r, const shard_result& result,
                       const owner_reply& reply, time_point now, outbox& out);
    void handle_done(id_record& r, const owner_reply& reply, outbox& out);
    void handle_not_started(id_record& r, const shard_result& result,
                            time_point now, outbox& out);
    void retry_elsewhere(id_record& r, const shard_result& result,
                         time_point now, outbox& out);
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
    time_point m_last_sweep;
};

} // namespace cranberrywood

#endif
