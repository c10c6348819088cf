#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_LINKS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_LINKS_HPP

#include "core/events.hpp"
#include "core/random_source.hpp"
#include "systems/servers/ask_sender.hpp"

namespace cranberrywood {

/** A backend server whose link was lost with requests in flight. */
struct suspected_crash
{
    backend_server_id backend_server;
    std::vector<request_at_crash> in_flight;
};

/**
 * Keeps the links to the backend servers that this VM owns: opens and
 * reopens them, and tells a new process from one that was known.
 */
class owner_links
{
public:
    owner_links(ask_sender& sends, random_source& random);

    /** Opens the link of a row that has none. */
    void open(owned_server& row, outbox& out);
    /** Closes the link of a row; requests in flight have unknown results. */
    void close(owned_server& row, outbox& out);
    /** Handles the first message of a backend server on a connection. */
    void connected(owned_server& row, const backend_hello& hello,
                   time_point now, outbox& out);
    /** Handles the loss of a link, or that it could not be set up. */
    void lost(owned_server& row, bool was_connected, time_point now,
              outbox& out);
    /** Reopens lost links and resets silent ones. */
    void tick(owned_server& row, time_point now, outbox& out);

    /** Takes the servers lost with requests in flight. */
    std::vector<suspected_crash> take_suspected_crashes();
    /**
     * Takes the servers among those of take_suspected_crashes whose process is
     * still the same: only the link had been lost.
     */
    std::vector<suspected_crash> take_refuted_crashes();

private:
    void begin(owned_server& row, const backend_hello& hello, time_point now);
    void note_death(owned_server& row);
    void check_survival(owned_server& row, incarnation process);
    duration back_off(std::uint32_t failures);

    ask_sender& m_sends;
    random_source& m_random;
    std::vector<suspected_crash> m_deaths;
    std::vector<suspected_crash> m_survivals;
};

} // namespace cranberrywood

#endif
