#include "fakes/starting_fleet.hpp"

#include <algorithm>
#include <set>

namespace cranberrywood::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration store_latency = 4ms;
constexpr duration network_latency = 2ms;
/** Time in which a reader builds a copy and a follower receives it. */
constexpr duration copy_time = 10ms;
/** Time after which a caller gives up on a store that does not answer. */
constexpr duration store_timeout = 1500ms;
/** Time after which a follower gives up on a machine without power. */
constexpr duration connect_timeout = 400ms;
constexpr duration follow_interval = 1s;
constexpr duration review_interval = 500ms;
constexpr duration undecided_interval = 50ms;
constexpr std::size_t seed_count = 3;

constexpr std::array<store_area, 2> areas = {store_area::operator_settings,
                                             store_area::backend_servers};

} // namespace

store_page fake_store::list(store_area area) const
{
    store_page page;
    page.at = {store_era(1), store_revision(revision)};
    const store_position position{store_era(1), store_revision(50)};
    if (area == store_area::operator_settings) {
        page.changes.push_back({"settings", position, settings, "settings"});
        return page;
    }
    for (std::uint64_t i = 0; i < servers; ++i) {
        backend_server_entry entry;
        entry.name = "s" + std::to_string(i);
        entry.id = id_of<backend_server_id>(entry.name);
        entry.service = id_of<service_id>("1");
        entry.sequence = 1;
        page.changes.push_back({"servers/" + entry.name, position, entry, "s"});
    }
    return page;
}

/** One VM's process. */
struct starting_fleet::vm_state
{
    struct reading
    {
        explicit reading(random_source& random, read_extent extent)
            : follower(50ms, random, extent)
        {
        }
        store_follower follower;
        bool active = false;
        /** Time of the answer to the call in progress. */
        std::optional<time_point> answer_at;
        /** The call in progress is a list. */
        bool listing = false;
    };

    vm_state(const member_identity& member, random_source& random,
             time_point now)
        : started(now), core(settings(member), random, now),
          mirror(incarnation(random.next() | 1U)), readers(core.members())
    {
        for (auto& r : direct) {
            r = std::make_unique<reading>(random, read_extent::continuous);
        }
        for (auto& r : first) {
            r = std::make_unique<reading>(random, read_extent::one_list);
            r->active = readers.lists_at_start();
        }
    }
    static gateway_settings settings(const member_identity& member)
    {
        gateway_settings s;
        s.member = member;
        return s;
    }
    bool reads_all() const
    {
        return direct[0]->follower.in_contact() &&
               direct[1]->follower.in_contact();
    }

    time_point started;
    gateway core;
    store_view view;
    store_mirror mirror;
    store_readers readers;
    std::array<std::unique_ptr<reading>, 2> direct;
    std::array<std::unique_ptr<reading>, 2> first;
    std::string followed;
    bool reading_store = false;
    time_point next_review;
    /** Time of the result of the call to the followed reader. */
    time_point copy_at = time_point::max();
    incarnation copied_process;
    std::uint64_t copied_place = 0;
};

starting_fleet::starting_fleet(std::size_t vms, std::uint64_t seed,
                               bool workspaces)
    : m_random(seed), m_workspaces(workspaces), m_vms(vms),
      m_without_power(vms, false), m_broken_answers(vms, 0)
{
    auto settings = std::make_shared<catalogue>();
    settings->version = 3;
    if (m_workspaces) {
        workspace_entry desk;
        desk.id = workspace_id(5);
        desk.name = "desk";
        settings->add_workspace(desk, {"key"});
    }
    m_store.settings = settings;
    m_store.servers = 300;
}

starting_fleet::~starting_fleet() = default;

std::string starting_fleet::address(std::size_t vm)
{
    return "10.0." + std::to_string(vm / 200) + "." +
           std::to_string(vm % 200 + 1) + ":7000";
}

std::size_t starting_fleet::number_of(const std::string& to) const
{
    std::size_t vm = 0;
    while (address(vm) != to) {
        ++vm;
    }
    return vm;
}

void starting_fleet::start(std::size_t vm)
{
    std::vector<std::string> seeds;
    for (std::size_t seed = 0; seed < seed_count; ++seed) {
        seeds.push_back(address(seed));
    }
    m_without_power[vm] = false;
    m_vms[vm] = std::make_unique<vm_state>(
        member_identity{address(vm), std::move(seeds)}, m_random, m_now);
    review(vm);
}

void starting_fleet::stop(std::size_t vm, bool lost_power)
{
    m_vms[vm].reset();
    m_without_power[vm] = lost_power;
}

void starting_fleet::break_answers(std::size_t vm, std::size_t count)
{
    m_broken_answers[vm] = count;
}

const gateway& starting_fleet::core(std::size_t vm) const
{
    return m_vms[vm]->core;
}

duration starting_fleet::time_to(std::size_t vm, startup_step step) const
{
    return m_vms[vm]->core.startup().time_to(step).value_or(duration(0));
}

duration starting_fleet::slowest(startup_step step) const
{
    duration longest{0};
    for (const auto& vm : m_vms) {
        if (vm) {
            longest = std::max(longest,
                               vm->core.startup().time_to(step).value_or(1h));
        }
    }
    return longest;
}

void starting_fleet::run(duration length)
{
    const time_point end = m_now + length;
    while (m_now < end) {
        m_now += 1ms;
        step();
    }
}

void starting_fleet::step()
{
    std::vector<delivery> due;
    const auto later =
        std::stable_partition(m_deliveries.begin(), m_deliveries.end(),
                              [&](const delivery& d) { return d.at <= m_now; });
    due.assign(std::make_move_iterator(m_deliveries.begin()),
               std::make_move_iterator(later));
    m_deliveries.erase(m_deliveries.begin(), later);
    for (const delivery& d : due) {
        if (m_vms[d.to]) {
            handle(d.to, d.datagram);
        }
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (!m_vms[vm]) {
            continue;
        }
        const auto wakeup = m_vms[vm]->core.next_wakeup();
        if (wakeup && *wakeup <= m_now) {
            carry_out(vm, m_vms[vm]->core.tick(m_now));
        }
        for (const store_area area : areas) {
            read_store(vm, area, true);
            read_store(vm, area, false);
        }
        if (m_now >= m_vms[vm]->copy_at) {
            follow(vm);
        }
        if (m_now >= m_vms[vm]->next_review) {
            review(vm);
        }
    }
}

void starting_fleet::handle(std::size_t vm, const gateway_event& event)
{
    carry_out(vm, m_vms[vm]->core.handle(event, m_now));
}

void starting_fleet::carry_out(std::size_t vm, const gateway_commands& commands)
{
    for (const gateway_command& command : commands) {
        if (const auto* sent = std::get_if<send_datagram>(&command)) {
            m_deliveries.push_back({m_now + network_latency,
                                    number_of(sent->to),
                                    {address(vm), sent->datagram}});
        }
    }
}

void starting_fleet::read_store(std::size_t vm, store_area area, bool first)
{
    vm_state& state = *m_vms[vm];
    const auto index = static_cast<std::size_t>(area);
    vm_state::reading& r = first ? *state.first[index] : *state.direct[index];
    if (!r.active) {
        return;
    }
    if (r.answer_at) {
        if (m_now >= *r.answer_at) {
            r.answer_at.reset();
            take_page(vm, area, first);
        }
        return;
    }
    const store_call call = r.follower.next_call(m_now);
    if (std::holds_alternative<stop_reading>(call)) {
        r.active = false;
        return;
    }
    if (std::holds_alternative<pause_reading>(call)) {
        return;
    }
    duration wait = m_store.condition == store_condition::silent
                        ? store_timeout
                        : store_latency;
    const auto* list = std::get_if<list_items>(&call);
    r.listing = list != nullptr;
    if (list != nullptr) {
        ++(list->serializable ? m_store.serializable_lists
                              : m_store.linearizable_lists);
    } else if (m_store.condition == store_condition::answering) {
        wait = std::get<watch_items>(call).wait;
    }
    r.answer_at = m_now + wait;
}

void starting_fleet::take_page(std::size_t vm, store_area area, bool first)
{
    vm_state& state = *m_vms[vm];
    const auto index = static_cast<std::size_t>(area);
    vm_state::reading& r = first ? *state.first[index] : *state.direct[index];
    if (m_store.condition != store_condition::answering) {
        r.follower.failed(store_fault::unavailable, m_now);
        if (!first) {
            state.readers.store_failed(m_now);
            handle(vm, store_reachability_changed{false});
        }
        return;
    }
    store_page answer;
    answer.at = {store_era(1), store_revision(m_store.revision)};
    if (r.listing) {
        answer = m_store.list(area);
    }
    const auto page = std::get<followed_page>(
        r.follower.handle_page(std::move(answer), m_now));
    if (first) {
        if (page.whole) {
            apply(vm, area, state.view.apply_serializable(area, page));
        }
        return;
    }
    apply(vm, area, state.view.apply(area, page));
    state.mirror.apply(area, page);
    if (state.reads_all()) {
        handle(vm, store_reachability_changed{true});
    }
}

void starting_fleet::apply(std::size_t vm, store_area /*area*/,
                           const view_update& update)
{
    for (const gateway_event& event : update.events) {
        handle(vm, event);
    }
}

void starting_fleet::review(std::size_t vm)
{
    vm_state& state = *m_vms[vm];
    state.next_review = m_now + (!state.reading_store && state.followed.empty()
                                     ? undecided_interval
                                     : review_interval);
    if (state.readers.must_wait(m_now)) {
        return;
    }
    const auto source = state.readers.source(m_now);
    const std::string followed = source.value_or("");
    if (followed == state.followed && (source || state.reading_store)) {
        return;
    }
    state.followed = followed;
    state.reading_store = !source;
    state.copy_at = time_point::max();
    for (const auto& r : state.direct) {
        if (!source && !r->active) {
            r->follower.restart();
        }
        r->active = !source;
        if (source) {
            r->answer_at.reset();
        }
    }
    if (source) {
        const std::size_t reader = number_of(followed);
        state.copied_process = incarnation();
        state.copied_place = 0;
        state.copy_at = m_now + (m_without_power[reader] ? connect_timeout
                                 : m_vms[reader] ? network_latency + copy_time
                                                 : network_latency);
    }
}

void starting_fleet::follow(std::size_t vm)
{
    vm_state& state = *m_vms[vm];
    const std::size_t reader = number_of(state.followed);
    state.copy_at = m_now + follow_interval;
    if (!m_vms[reader]) {
        reader_failed(vm, reader_fault::unreachable);
    } else if (m_broken_answers[reader] > 0) {
        --m_broken_answers[reader];
        reader_failed(vm, reader_fault::unreachable);
    } else {
        take_copy(vm, copy_of(reader));
    }
}

mirror_update starting_fleet::copy_of(std::size_t vm) const
{
    const vm_state& reader = *m_vms[vm];
    mirror_update copy = reader.mirror.after(incarnation(), 0);
    copy.store_reachable =
        reader.reading_store && reader.reads_all() && reader.mirror.complete();
    if (copy.store_reachable) {
        copy.at = std::min(reader.direct[0]->follower.position(),
                           reader.direct[1]->follower.position());
    }
    return copy;
}

void starting_fleet::take_copy(std::size_t vm, const mirror_update& copy)
{
    vm_state& state = *m_vms[vm];
    const bool has_state =
        state.core.settings() != nullptr && state.core.server_count() > 0;
    for (const store_area area : areas) {
        followed_page page;
        page.whole = copy.whole;
        page.at = copy.at;
        std::set<std::string> copied;
        for (const mirrored_item& item : copy.items) {
            copied.insert(item.key);
        }
        for (const store_change& change : m_store.list(area).changes) {
            if (copied.count(change.key) != 0) {
                page.changes.push_back(change);
            }
        }
        if (copy.store_reachable) {
            apply(vm, area, state.view.apply(area, page));
        } else if (!has_state) {
            apply(vm, area, state.view.apply_serializable(area, page));
        }
    }
    if (copy.store_reachable) {
        handle(vm, store_state_confirmed{});
    } else {
        reader_failed(vm, reader_fault::store_unreachable);
    }
}

void starting_fleet::reader_failed(std::size_t vm, reader_fault why)
{
    vm_state& state = *m_vms[vm];
    state.readers.failed(why, m_now);
    handle(vm, store_reachability_changed{false});
    state.followed.clear();
    state.copy_at = time_point::max();
    review(vm);
}

} // namespace cranberrywood::fakes
