#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_SETTINGS_SPREAD_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_SETTINGS_SPREAD_HPP

#include "core/events.hpp"
#include "core/node_identity.hpp"
#include "settings/settings_reader.hpp"
#include "systems/settings/configuration_watch.hpp"
#include "systems/settings/revision_history.hpp"
#include "systems/settings/revision_pulls.hpp"

#include <set>

namespace cranberrywood {

/** State of the settings on one VM, for operators and for readiness. */
struct spread_status
{
    /** Revision in force; unset before the first. */
    revision_number accepted;
    /** Newest revision that the service or any peer named. */
    revision_number newest_seen;
    /** Last revision that was refused; unset when none was. */
    revision_number refused;
    /** First error of the refused revision. */
    std::string refused_error;
    /** Number of errors of the refused revision. */
    std::size_t refused_errors = 0;
    /** This VM reads the configuration service. */
    bool reads_service = false;
    /** The service answered lately, and not with an old revision. */
    bool service_answered = false;
    /** Settings are in force and peers were asked for newer ones. */
    bool started = false;
    /** A newer revision exists that this VM could not get yet. */
    bool behind = false;
    /** The revision in force no longer names this VM's site. */
    bool site_removed = false;
    std::uint64_t service_reads = 0;
    std::uint64_t pulls_sent = 0;
    std::uint64_t pushes_sent = 0;
    std::uint64_t push_bytes_sent = 0;
};

/**
 * Brings accepted revisions to this VM and on to others. A few VMs of each
 * data centre watch the configuration service; a new revision goes as a delta
 * to random peers at once, and heartbeats that name revisions mend what that
 * leaves out. The revision in force only ever grows.
 */
class settings_spread
{
public:
    /** The random source must outlive the object. */
    settings_spread(node_identity self, random_source& random);

    /** Takes an answer of the configuration service. */
    void receive(const configuration_read& answer, time_point now, outbox& out);

    /** Notes that the configuration service could not be read. */
    void receive(const configuration_unavailable& event, time_point now,
                 outbox& out);

    /** Takes the VM list, which decides who reads the service. */
    void receive(const vm_list_read& list);

    /** Answers a peer that asks for newer settings. */
    void receive(vm_id from, const revision_pull& pull, time_point now,
                 outbox& out);

    /** Takes settings, or their revision number, from a peer. */
    void receive(vm_id from, const revision_push& push, time_point now,
                 outbox& out);

    /** Takes the revision that a peer's heartbeat names. */
    void receive_revision(vm_id from, revision_number revision, time_point now,
                          outbox& out);

    /** Issues the reads and pulls that are due. */
    void tick(time_point now, outbox& out);

    /** Takes settings that came into force since the last call. */
    std::optional<std::shared_ptr<const settings_index>> take_accepted();

    /** Returns the state of the settings. */
    spread_status status(time_point now) const;

private:
    void heard(vm_id peer, time_point now);
    void judge(const published_value& value, std::string text, time_point now,
               outbox& out);
    void refuse(revision_number revision,
                const std::vector<settings_error>& errors, outbox& out);
    void accept(const accepted_settings& accepted, std::string text,
                time_point now, outbox& out);
    void spread(outbox& out);
    void ask_at_start(time_point now, outbox& out);
    void pull_if_due(time_point now, outbox& out);
    void send_push(vm_id to, revision_push push, outbox& out);
    bool reads_service(time_point now) const;
    bool is_settled(revision_number revision) const;
    void update_started(time_point now);
    std::vector<vm_id> random_peers(std::size_t count);

    node_identity m_self;
    random_source& m_random;
    configuration_watch m_watch;
    revision_history m_history;
    revision_pulls m_pulls;
    std::shared_ptr<const settings_index> m_in_force;
    std::vector<listed_vm> m_listed;
    std::vector<vm_id> m_readers;
    std::set<vm_id> m_answered_at_start;
    std::size_t m_asked_at_start = 0;
    std::optional<time_point> m_start_wait_end;
    std::optional<time_point> m_heard_peer;
    std::optional<time_point> m_last_whole_push;
    revision_number m_refused;
    std::vector<settings_error> m_refused_errors;
    bool m_new = false;
    bool m_started = false;
    bool m_site_removed = false;
    bool m_service_stale = false;
    bool m_pull_whole = false;
    std::uint64_t m_pulls_sent = 0;
    std::uint64_t m_pushes_sent = 0;
    std::uint64_t m_push_bytes_sent = 0;
};

} // namespace cranberrywood

#endif
