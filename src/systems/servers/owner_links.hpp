#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_LINKS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_LINKS_HPP

#include "core/events.hpp"
#include "core/random_source.hpp"
#include "systems/servers/ask_sender.hpp"

namespace cranberrywood {

/**
 * A backend server whose link was lost with requests in flight, which may
 * have crashed it.
 */
struct suspected_crash
{
    backend_server_id backend_server;
    std::vector<request_at_crash> in_flight;
};

/**
 * Maintains the links to the backend servers that this VM owns: opens and
 * reopens them, and detects when a server is a new process.
 */
class owner_links
{
public:
    owner_links(ask_sender& sender, random_source& random);

    /** Opens the link of a row that has none. */
    void open(owned_server& row, outbox& out);
    /** Closes the link of a row; requests in flight end as unknown. */
    void close(owned_server& row, outbox& out);
    /** Handles the first message of a backend server on a connection. */
    void connected(owned_server& row, const backend_hello& hello,
                   time_point now, outbox& out);
    /** Handles the loss of a link or a failure to connect. */
    void lost(owned_server& row, bool was_connected, time_point now,
              outbox& out);
    /** Reopens lost links and resets unresponsive ones. */
    void tick(owned_server& row, time_point now, outbox& out);

    /** Takes the servers whose links were lost with requests in flight. */
    std::vector<suspected_crash> take_suspected_crashes();
    /**
     * Takes the suspected crashes whose server reconnected as the same
     * process: only the link had been lost.
     */
    std::vector<suspected_crash> take_refuted_crashes();

private:
    void start_session(owned_server& row, const backend_hello& hello,
                       time_point now);
    void record_suspected_crash(owned_server& row);
    void check_refuted_crash(owned_server& row, incarnation process);
    duration reconnect_delay(std::uint32_t failures);

    ask_sender& m_sender;
    random_source& m_random;
    std::vector<suspected_crash> m_suspected_crashes;
    std::vector<suspected_crash> m_refuted_crashes;
};

} // namespace cranberrywood

#endif
