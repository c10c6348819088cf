#include "loop/store_source.hpp"

#include "core/log_codes.hpp"
#include "core/log_text.hpp"
#include "wire/gateway_codec.hpp"

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Pauses between two watches of one area of the store. */
constexpr duration settings_pause = 50ms;
constexpr duration servers_pause = 1s;
/** Contact with the store after which lapsed entries have returned. */
constexpr duration steady_contact = 2500ms;
/** Time in which a peer must answer with its configuration. */
constexpr duration configuration_answer_time = 300ms;

} // namespace

store_source::store_source(loop_context& loop, const platform_adapter& adapter,
                           event_log& log, const store_addresses& addresses,
                           random_source& random, gateway& core,
                           event_handler handler, news_handler news)
    : m_loop(loop), m_adapter(adapter), m_log(log),
      m_control_port(addresses.control_port), m_gateway(core),
      m_handler(std::move(handler)), m_news(std::move(news)),
      m_mirror(incarnation(random.next() | 1U)), m_readers(core.members()),
      m_settings_reader(loop, adapter, addresses.store,
                        store_area::operator_settings, settings_pause, random,
                        *this),
      m_servers_reader(loop, adapter, addresses.store,
                       store_area::backend_servers, servers_pause, random,
                       *this),
      m_first_list(*this),
      m_first_settings_reader(loop, adapter, addresses.store,
                              store_area::operator_settings, settings_pause,
                              random, m_first_list, read_extent::one_list),
      m_first_servers_reader(loop, adapter, addresses.store,
                             store_area::backend_servers, servers_pause, random,
                             m_first_list, read_extent::one_list),
      m_mirror_reader(
          loop,
          [this](const mirror_update& update) { followed_update(update); },
          [this](const std::string& why) {
              reader_failed(reader_fault::unreachable, why);
          })
{
}

void store_source::start()
{
    if (m_readers.lists_at_start()) {
        m_first_settings_reader.start();
        m_first_servers_reader.start();
    }
    review();
}

void store_source::review()
{
    choose_store_source();
    ask_peer_for_configuration();
}

void store_source::store_read(store_area area, const followed_page& page)
{
    if (reads_all()) {
        contact_changed(true, "");
    }
    if (page.whole) {
        log_list(area, page, "");
    }
    apply_page(area, page);
    if (reads_all()) {
        confirm();
    }
    if (m_mirror.apply(area, page)) {
        m_news(m_mirror.place());
    }
}

void store_source::log_list(store_area area, const followed_page& page,
                            const char* suffix)
{
    m_log.write(log_code::store_listed,
                std::string("area=") + name_of(area) +
                    " position=" + to_string(page.at) +
                    " items=" + std::to_string(page.changes.size()) + suffix);
}

void store_source::confirm()
{
    if (!m_confirmed) {
        m_confirmed = true;
        m_handler(store_state_confirmed{});
    }
}

void store_source::first_list_listener::store_read(store_area area,
                                                   const followed_page& page)
{
    if (!page.whole) {
        return;
    }
    m_source.log_list(area, page, " serializable=yes");
    m_source.apply_update(area, page,
                          m_source.m_view.apply_serializable(area, page));
}

// The readers tell whether the store can be reached.
void store_source::first_list_listener::store_failed(store_area area,
                                                     const std::string& why)
{
    m_source.m_log.write(log_code::configuration_unavailable,
                         std::string("why=\"") + why +
                             "\" serializable=yes area=" + name_of(area));
}

void store_source::first_list_listener::page_refused(store_area area,
                                                     const refused_page& page)
{
    store_failed(area, std::string("page refused: ") + name_of(page.why));
}

void store_source::apply_page(store_area area, const followed_page& page)
{
    apply_update(area, page, m_view.apply(area, page));
}

void store_source::apply_update(store_area area, const followed_page& page,
                                const view_update& update)
{
    if (update.restored) {
        m_log.write(log_code::store_restored,
                    std::string("area=") + name_of(area) +
                        " before=" + to_string(update.restored->before) +
                        " after=" + to_string(update.restored->after) +
                        " missing=" + std::to_string(update.restored->missing) +
                        " revision_in_force=" +
                        std::to_string(m_gateway.settings_version()));
    }
    for (const ignored_change& change : update.ignored) {
        m_log.write(log_code::store_change_ignored,
                    "key=" + log_text(change.key) +
                        " why=" + name_of(change.why) +
                        " position=" + to_string(change.position) +
                        " known=" + to_string(change.known) +
                        " details=" + log_text(change.details));
    }
    for (const gateway_event& event : update.events) {
        m_handler(event);
    }
    keep_configuration(page);
}

// Kept as it was read, for peers that ask for it.
void store_source::keep_configuration(const followed_page& page)
{
    for (const store_change& change : page.changes) {
        const auto* read =
            std::get_if<std::shared_ptr<const catalogue>>(&change.value);
        if (read != nullptr && *read == m_gateway.settings()) {
            m_configuration = {change.key, change.position, false,
                               change.bytes};
        }
    }
}

mirror_update store_source::own_configuration() const
{
    mirror_update update;
    if (!m_configuration.bytes.empty()) {
        update.items.push_back(m_configuration);
    }
    return update;
}

void store_source::ask_peer_for_configuration()
{
    const auto peer = m_gateway.next_configuration_source(m_loop.time.now());
    if (!peer) {
        return;
    }
    m_log.write(log_code::configuration_asked,
                "peer=" + *peer + " revision=" +
                    std::to_string(m_gateway.settings_version()));
    m_configuration_client = std::make_unique<http_client>(
        m_loop, endpoint{peer->substr(0, peer->rfind(':')), m_control_port});
    m_configuration_client->get(
        configuration_path, configuration_answer_time,
        [this](const http_result& result) { configuration_came(result); });
}

void store_source::configuration_came(const http_result& result)
{
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
        m_log.write(log_code::peer_frame_refused,
                    "why=\"" + std::get<std::string>(result) + '"');
        return;
    }
    const auto decoded = decode_mirror_update(response->body());
    if (const auto* fault = std::get_if<wire_error>(&decoded)) {
        m_log.write(log_code::peer_frame_refused, "why=\"" + fault->what + '"');
        return;
    }
    // The gateway takes it only if its version is greater than that in force.
    followed_page page;
    for (const mirrored_item& item : std::get<mirror_update>(decoded).items) {
        page.changes.push_back(m_adapter.read_passed_on(
            item.key, item.position, item.removed, item.bytes));
    }
    for (const store_change& change : page.changes) {
        if (const auto* read =
                std::get_if<std::shared_ptr<const catalogue>>(&change.value)) {
            m_handler(catalogue_read{*read});
        }
    }
    keep_configuration(page);
}

void store_source::store_failed(store_area /*area*/, const std::string& why)
{
    contact_changed(false, why);
    m_readers.store_failed(m_loop.time.now());
}

// The store answers, but this VM does not know its items.
void store_source::page_refused(store_area area, const refused_page& page)
{
    m_log.write(log_code::store_page_refused,
                std::string("area=") + name_of(area) + " why=" +
                    name_of(page.why) + " after=" + log_text(page.after_key) +
                    " items=" + std::to_string(page.items));
    store_failed(area, std::string("page refused: ") + name_of(page.why));
}

bool store_source::reads_all() const
{
    return m_settings_reader.follower().in_contact() &&
           m_servers_reader.follower().in_contact();
}

void store_source::contact_changed(bool reachable, const std::string& why)
{
    if (reachable == m_store_contact && m_contact_logged) {
        return;
    }
    m_contact_logged = true;
    m_store_contact = reachable;
    m_contact_since = m_loop.time.now();
    if (reachable) {
        m_log.write(log_code::configuration_answered,
                    "through=" + (m_followed.empty() ? "store" : m_followed));
    } else {
        m_log.write(log_code::configuration_unavailable, "why=\"" + why + '"');
    }
    m_handler(store_reachability_changed{reachable});
}

void store_source::choose_store_source()
{
    if (m_readers.must_wait(m_loop.time.now())) {
        return;
    }
    const auto source = m_readers.source(m_loop.time.now());
    const std::string followed = source.value_or("");
    if (followed == m_followed && (source || m_reading_store)) {
        return;
    }
    m_followed = followed;
    m_log.write(log_code::store_source_changed,
                "source=" + (source ? followed : "store"));
    if (!source) {
        m_mirror_reader.stop();
        m_settings_reader.start();
        m_servers_reader.start();
        m_reading_store = true;
        return;
    }
    m_settings_reader.stop();
    m_servers_reader.stop();
    m_reading_store = false;
    m_mirror_reader.follow(
        {followed.substr(0, followed.rfind(':')), m_control_port});
}

void store_source::followed_update(const mirror_update& update)
{
    if (!update.store_reachable) {
        take_unconfirmed(update);
        reader_failed(reader_fault::store_unreachable,
                      "the reader has lost the store");
        return;
    }
    if (m_view.era().is_set() && !update.at.era.is_set()) {
        // A program that knows no eras cannot say which items are newer.
        reader_failed(reader_fault::store_unreachable,
                      "the reader names no era");
        return;
    }
    contact_changed(update.store_steady, "the reader was out of contact");
    for (const store_area area :
         {store_area::operator_settings, store_area::backend_servers}) {
        apply_page(area, page_of(update, area));
    }
    confirm();
}

followed_page store_source::page_of(const mirror_update& update,
                                    store_area area) const
{
    followed_page page;
    page.whole = update.whole;
    page.at = update.at;
    for (const mirrored_item& item : update.items) {
        if (m_adapter.area_of(item.key) == area) {
            page.changes.push_back(m_adapter.read_passed_on(
                item.key, item.position, item.removed, item.bytes));
        }
    }
    return page;
}

// A VM that knows nothing serves with what a reader last knew. It removes
// nothing, as such a copy names no position up to which it is complete.
void store_source::take_unconfirmed(const mirror_update& update)
{
    if (!update.whole ||
        (m_gateway.settings() != nullptr && m_gateway.server_count() > 0)) {
        return;
    }
    for (const store_area area :
         {store_area::operator_settings, store_area::backend_servers}) {
        followed_page page = page_of(update, area);
        page.at = store_position();
        apply_update(area, page, m_view.apply_serializable(area, page));
    }
}

void store_source::reader_failed(reader_fault fault, const std::string& why)
{
    m_log.write(log_code::store_reader_failed,
                "reader=" + m_followed + " why=\"" + why + '"');
    m_readers.failed(fault, m_loop.time.now());
    contact_changed(false, why);
    m_mirror_reader.stop();
    m_followed.clear();
    choose_store_source();
}

mirror_update store_source::update_for_followers(incarnation process,
                                                 std::uint64_t place) const
{
    mirror_update update = m_mirror.after(process, place);
    const duration contact = m_loop.time.now() - m_contact_since;
    update.store_reachable =
        m_reading_store && m_store_contact && m_mirror.complete();
    update.store_steady = update.store_reachable && contact >= steady_contact;
    if (update.store_reachable) {
        update.at = std::min(m_settings_reader.follower().position(),
                             m_servers_reader.follower().position());
    }
    return update;
}

} // namespace cranberrywood
