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
    /** Newest revision that the service or any peer reported. */
    revision_number newest_seen;
    /** Last revision that was refused; unset when none was. */
    revision_number refused;
    /** First error of the refused revision. */
    std::string refused_error;
    /** Number of errors of the refused revision. */
    std::size_t refused_errors = 0;
    /** This VM reads the configuration service. */
    bool reads_service = false;
    /** The service answered within view_life, with no outdated revision. */
    bool service_answered = false;
    /** Settings are in force, and peers have been asked for newer ones. */
    bool started = false;
    /** A peer has a newer revision that this VM has not received yet. */
    bool behind = false;
    /** The last accepted revision does not contain this VM's site. */
    bool site_removed = false;
    std::uint64_t service_reads = 0;
    std::uint64_t pulls_sent = 0;
    std::uint64_t pushes_sent = 0;
    std::uint64_t push_bytes_sent = 0;
};

/**
 * Distributes settings revisions among the VMs. A few VMs of each data centre
 * read the configuration service. An accepted revision is pushed to random
 * peers at once, as a delta; a VM that the pushes miss learns of the revision
 * from heartbeats and pulls it. The revision in force never decreases.
 */
class settings_spread
{
public:
    /** The random source must outlive the object. */
    settings_spread(node_identity self, random_source& random);

    /** Validates the value that the configuration service returned. */
    void receive(const configuration_read& answer, time_point now, outbox& out);

    /** Records that the configuration service could not be read. */
    void receive(const configuration_unavailable& event, time_point now,
                 outbox& out);

    /** Updates the VM list, from which the readers are chosen. */
    void receive(const vm_list_read& list);

    /** Answers a pull from a peer. */
    void receive(vm_id from, const revision_pull& pull, time_point now,
                 outbox& out);

    /** Handles settings, or just their revision number, from a peer. */
    void receive(vm_id from, const revision_push& push, time_point now,
                 outbox& out);

    /** Handles the revision in a heartbeat from a peer. */
    void receive_revision(vm_id from, revision_number revision, time_point now,
                          outbox& out);

    /** Issues the reads and pulls that are due. */
    void tick(time_point now, outbox& out);

    /** Returns settings that came into force since the last call. */
    std::optional<std::shared_ptr<const settings_index>> take_accepted();

    spread_status status(time_point now) const;

private:
    void record_contact(vm_id peer, time_point now);
    void validate(const published_value& value, std::string text,
                  time_point now, outbox& out);
    void refuse(revision_number revision,
                const std::vector<settings_error>& errors, outbox& out);
    void accept(const accepted_settings& accepted, std::string text,
                time_point now, outbox& out);
    void push_to_peers(outbox& out);
    void pull_at_startup(time_point now, outbox& out);
    void pull_if_due(time_point now, outbox& out);
    void send_push(vm_id to, revision_push push, outbox& out);
    bool reads_service(time_point now) const;
    bool is_processed(revision_number revision) const;
    void update_started(time_point now);
    std::vector<vm_id> choose_random_peers(std::size_t count);

    node_identity m_self;
    random_source& m_random;
    configuration_watch m_watch;
    revision_history m_history;
    revision_pulls m_pulls;
    std::shared_ptr<const settings_index> m_in_force;
    std::vector<listed_vm> m_listed;
    std::vector<vm_id> m_readers;
    std::set<vm_id> m_startup_answers;
    std::size_t m_startup_pulls = 0;
    std::optional<time_point> m_startup_deadline;
    std::optional<time_point> m_last_peer_contact;
    std::optional<time_point> m_last_whole_push;
    revision_number m_refused;
    std::vector<settings_error> m_refused_errors;
    bool m_has_new_settings = false;
    bool m_started = false;
    bool m_site_removed = false;
    bool m_service_stale = false;
    bool m_needs_whole_value = false;
    std::uint64_t m_pulls_sent = 0;
    std::uint64_t m_pushes_sent = 0;
    std::uint64_t m_push_bytes_sent = 0;
};

} // namespace cranberrywood

#endif
