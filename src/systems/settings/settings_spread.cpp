#include "systems/settings/settings_spread.hpp"

#include "systems/settings/reader_choice.hpp"
#include "systems/settings/revision_text.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using std::chrono::milliseconds;

// Number of peers to which each VM pushes a revision that it has accepted.
constexpr std::size_t push_fanout = 6;
// Larger deltas are announced by their revision only, so that a VM pulls them
// once instead of receiving them from several peers.
constexpr std::size_t max_pushed_delta_bytes = 4096;
// Peers that a starting VM pulls from, and how many answers it waits for.
constexpr std::size_t startup_pulls = 6;
constexpr std::size_t required_startup_answers = 2;
constexpr duration startup_timeout = milliseconds(2000);
// Minimum interval between two pushes of the whole value by one VM.
constexpr duration whole_push_interval = milliseconds(250);

std::string revision_field(revision_number revision)
{
    return "revision=" + std::to_string(revision.value());
}

bool is_announcement(const revision_push& push)
{
    return push.base == push.revision;
}

} // namespace

settings_spread::settings_spread(node_identity self, random_source& random)
    : m_self(std::move(self)), m_random(random), m_watch(random)
{
}

void settings_spread::receive(const configuration_read& answer, time_point now,
                              outbox& out)
{
    const revision_number revision = answer.value.revision;
    if (m_watch.is_down()) {
        out.log(log_code::configuration_answered, revision_field(revision));
    }
    m_watch.record_answer(revision, now);
    const bool stale = revision < m_pulls.newest();
    if (stale && !m_service_stale) {
        out.log(log_code::configuration_stale,
                revision_field(revision) +
                    " newest_seen=" + std::to_string(m_pulls.newest().value()));
    }
    m_service_stale = stale;
    if (!stale && !is_processed(revision)) {
        validate(answer.value, revision_text(answer.value), now, out);
    }
}

void settings_spread::receive(const configuration_unavailable& failure,
                              time_point now, outbox& out)
{
    if (!m_watch.is_down()) {
        out.log(log_code::configuration_unavailable, "why=" + failure.why);
    }
    m_watch.record_failure(now);
}

void settings_spread::receive(const vm_list_read& list)
{
    m_listed = list.vms;
    if (m_in_force != nullptr) {
        m_readers = readers_of(*m_in_force, m_self.data_centre, m_listed);
    }
}

void settings_spread::receive(vm_id from, const revision_pull& pull,
                              time_point now, outbox& out)
{
    if (!m_history.current().is_set()) {
        return;
    }
    const bool whole =
        pull.have < m_history.current() && !m_history.has_delta_from(pull.have);
    if (whole) {
        const bool too_soon =
            m_last_whole_push && now - *m_last_whole_push < whole_push_interval;
        if (too_soon) {
            send_push(from, m_history.announcement(), out);
            return;
        }
        m_last_whole_push = now;
    }
    for (auto& push : m_history.pushes_from(pull.have)) {
        send_push(from, std::move(push), out);
    }
}

void settings_spread::receive(vm_id from, const revision_push& push,
                              time_point now, outbox& out)
{
    record_contact(from, now);
    if (is_processed(push.revision)) {
        return;
    }
    m_pulls.add_offer(from, push.revision);
    if (is_announcement(push)) {
        return;
    }
    auto text = m_history.restore_text(push);
    if (!text) {
        const bool corrupt =
            !push.base.is_set() || push.base == m_history.current();
        if (corrupt) {
            out.log(log_code::revision_push_corrupt,
                    revision_field(push.revision) +
                        " peer=" + std::to_string(from.value()));
            m_needs_whole_value = true;
        }
        return;
    }
    auto value = read_revision_text(*text, push.revision);
    if (value) {
        validate(*value, std::move(*text), now, out);
    }
}

void settings_spread::receive_revision(vm_id from, revision_number revision,
                                       time_point now, outbox& out)
{
    record_contact(from, now);
    if (revision < m_history.current()) {
        send_push(from, m_history.announcement(), out);
    } else if (!is_processed(revision)) {
        m_pulls.add_offer(from, revision);
        pull_if_due(now, out);
    }
}

void settings_spread::tick(time_point now, outbox& out)
{
    if (reads_service(now)) {
        m_watch.tick(now, out);
    }
    pull_if_due(now, out);
    update_started(now);
}

std::optional<std::shared_ptr<const settings_index>>
settings_spread::take_accepted()
{
    if (!std::exchange(m_has_new_settings, false)) {
        return std::nullopt;
    }
    return m_in_force;
}

spread_status settings_spread::status(time_point now) const
{
    spread_status s;
    s.accepted = m_history.current();
    s.newest_seen = std::max(m_pulls.newest(), m_refused);
    s.refused = m_refused;
    s.refused_errors = m_refused_errors.size();
    if (!m_refused_errors.empty()) {
        s.refused_error = m_refused_errors.front().text();
    }
    s.reads_service = reads_service(now);
    const fleet_settings defaults;
    const duration view_life =
        m_in_force ? m_in_force->fleet().view_life : defaults.view_life;
    s.service_answered = m_watch.answered_within(view_life, now);
    s.started = m_started;
    s.behind = m_pulls.is_behind();
    s.site_removed = m_site_removed;
    s.service_reads = m_watch.reads();
    s.pulls_sent = m_pulls_sent;
    s.pushes_sent = m_pushes_sent;
    s.push_bytes_sent = m_push_bytes_sent;
    return s;
}

void settings_spread::record_contact(vm_id peer, time_point now)
{
    m_last_peer_contact = now;
    if (!m_started) {
        m_startup_answers.insert(peer);
    }
}

void settings_spread::validate(const published_value& value, std::string text,
                               time_point now, outbox& out)
{
    const settings_result result = read_settings(value);
    m_watch.record_revision(value.revision);
    m_needs_whole_value = false;
    if (const auto* accepted = std::get_if<accepted_settings>(&result)) {
        accept(*accepted, std::move(text), now, out);
        return;
    }
    refuse(value.revision, std::get<std::vector<settings_error>>(result), out);
}

void settings_spread::refuse(revision_number revision,
                             const std::vector<settings_error>& errors,
                             outbox& out)
{
    m_refused = revision;
    m_pulls.record_refused(revision);
    m_refused_errors = errors;
    out.log(log_code::revision_refused, revision_field(revision) + " errors=" +
                                            std::to_string(errors.size()) +
                                            " first=" + errors.front().text());
}

void settings_spread::accept(const accepted_settings& accepted,
                             std::string text, time_point now, outbox& out)
{
    const bool first = !m_history.current().is_set();
    m_pulls.record_accepted(accepted.revision);
    m_history.adopt(accepted.revision, std::move(text));
    out.log(log_code::revision_accepted, revision_field(accepted.revision));
    auto own = accepted.of_site(m_self.site);
    m_site_removed = own == nullptr;
    if (m_site_removed) {
        out.log(log_code::site_removed,
                revision_field(accepted.revision) + " site=" + m_self.site);
    } else {
        m_in_force = std::move(own);
        m_has_new_settings = true;
        m_readers = readers_of(*m_in_force, m_self.data_centre, m_listed);
    }
    if (first) {
        pull_at_startup(now, out);
    } else {
        push_to_peers(out);
    }
}

void settings_spread::push_to_peers(outbox& out)
{
    auto push = m_history.newest_delta();
    if (!push || push->body.size() > max_pushed_delta_bytes) {
        push = m_history.announcement();
    }
    for (const auto peer : choose_random_peers(push_fanout)) {
        send_push(peer, *push, out);
    }
}

// The service may have returned a stale revision, so peers are asked for a
// newer one.
void settings_spread::pull_at_startup(time_point now, outbox& out)
{
    const auto peers = choose_random_peers(startup_pulls);
    m_startup_pulls = peers.size();
    m_startup_deadline = now + startup_timeout;
    for (const auto peer : peers) {
        out.to_peer(peer, revision_pull{m_history.current()});
        ++m_pulls_sent;
    }
}

void settings_spread::pull_if_due(time_point now, outbox& out)
{
    if (const auto peer = m_pulls.take_due(now)) {
        const auto have =
            m_needs_whole_value ? revision_number() : m_history.current();
        out.to_peer(*peer, revision_pull{have});
        ++m_pulls_sent;
    }
}

void settings_spread::send_push(vm_id to, revision_push push, outbox& out)
{
    ++m_pushes_sent;
    m_push_bytes_sent += push.body.size();
    out.to_peer(to, std::move(push));
}

// A VM without settings, one that is not in the settings, and one without
// recent contact to a peer read the service even if they are not chosen as
// readers.
bool settings_spread::reads_service(time_point now) const
{
    if (m_in_force == nullptr || m_in_force->find(m_self.vm) == nullptr) {
        return true;
    }
    const bool has_contact =
        m_last_peer_contact &&
        now - *m_last_peer_contact <= m_in_force->fleet().view_life;
    const bool is_reader = std::find(m_readers.begin(), m_readers.end(),
                                     m_self.vm) != m_readers.end();
    return is_reader || !has_contact;
}

// Only the refused revision itself is skipped: an older one that peers accepted
// may still be newer than the current one.
bool settings_spread::is_processed(revision_number revision) const
{
    return revision <= m_history.current() || revision == m_refused;
}

void settings_spread::update_started(time_point now)
{
    if (m_started || m_in_force == nullptr || m_pulls.is_behind()) {
        return;
    }
    const std::size_t needed =
        std::min(required_startup_answers, m_startup_pulls);
    m_started = m_startup_answers.size() >= needed ||
                (m_startup_deadline && now >= *m_startup_deadline);
    if (m_started) {
        m_startup_answers.clear();
    }
}

std::vector<vm_id> settings_spread::choose_random_peers(std::size_t count)
{
    std::vector<vm_id> peers;
    if (m_in_force == nullptr) {
        return peers;
    }
    for (const auto& vm : m_in_force->all().vms) {
        if (vm.id != m_self.vm) {
            peers.push_back(vm.id);
        }
    }
    const std::size_t chosen = std::min(count, peers.size());
    for (std::size_t i = 0; i < chosen; ++i) {
        std::swap(peers[i], peers[i + m_random.below(peers.size() - i)]);
    }
    peers.resize(chosen);
    return peers;
}

} // namespace cranberrywood
