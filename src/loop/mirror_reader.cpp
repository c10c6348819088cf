#include "loop/mirror_reader.hpp"

#include "loop/control_front.hpp"
#include "wire/gateway_codec.hpp"

#include <boost/asio/post.hpp>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Wait of one call; a reader that went silent shows soon after. */
constexpr duration follow_wait = 1s;
/**
 * Time in which a connection is set up. A VM without power refuses none; the
 * next reader is asked soon.
 */
constexpr duration connect_time = 400ms;
/** Time beyond the wait in which a reader must answer. */
constexpr duration answer_time = 900ms;

} // namespace

mirror_reader::mirror_reader(loop_context& loop, update_handler updated,
                             failure_handler failed)
    : m_loop(loop), m_updated(std::move(updated)), m_failed(std::move(failed))
{
}

void mirror_reader::follow(const endpoint& reader)
{
    if (m_reader == reader) {
        return;
    }
    m_reader = reader;
    m_process = incarnation();
    m_place = 0;
    m_client = std::make_unique<http_client>(m_loop, reader);
    call();
}

void mirror_reader::stop()
{
    m_reader.reset();
    m_client.reset();
}

void mirror_reader::call()
{
    m_client->get(follow_target(m_process, m_place, follow_wait),
                  call_limits{connect_time, follow_wait + answer_time},
                  [this](const http_result& result) { take(result); });
}

// The handlers may change whom to follow, which ends the client that calls;
// so they run after it has returned.
void mirror_reader::take(const http_result& result)
{
    std::string why;
    std::optional<mirror_update> update;
    if (const auto* error = std::get_if<std::string>(&result)) {
        why = *error;
    } else {
        const auto& response = std::get<http_response>(result);
        auto decoded = decode_mirror_update(response.body());
        if (const auto* fault = std::get_if<wire_error>(&decoded)) {
            why = fault->what;
        } else {
            update = std::get<mirror_update>(std::move(decoded));
        }
    }
    boost::asio::post(m_loop.io, [this, why, update, from = m_reader] {
        if (!m_reader || m_reader != from) {
            return;
        }
        if (!update) {
            m_failed(why);
            return;
        }
        m_process = update->process;
        m_place = update->place;
        m_updated(*update);
        if (m_reader == from) {
            call();
        }
    });
}

} // namespace cranberrywood
