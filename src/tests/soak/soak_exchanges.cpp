#include "soak/soak_world.hpp"

/** How backend servers of a soak run take requests. */
namespace cranberrywood::soak {

namespace {

using namespace std::chrono_literals;

/** Time after which a connection to a silent machine is given up. */
constexpr duration connect_timeout = 400ms;

/** Records of a run: a few of 16 bytes, other ones each time. */
std::string records(random_source& random)
{
    constexpr std::uint64_t most = 4;
    constexpr std::size_t record_bytes = 16;
    std::string bytes;
    for (std::uint64_t left = 1 + random.below(most); left > 0; --left) {
        for (std::size_t i = 0; i < record_bytes; ++i) {
            bytes.push_back(static_cast<char>('a' + random.below(26)));
        }
    }
    return bytes;
}

} // namespace

void soak_world::start(std::size_t index, const start_exchange& command)
{
    const std::uint64_t process = m_vms[index].process;
    const bool leaving = m_vms[index].leaving.count(command.server) != 0;
    if (!passes_link(index)) {
        fail_on_link(index, process, command.exchange);
        return;
    }
    after(delay(), [this, index, process, command, leaving] {
        receive(index, process, command, leaving);
    });
}

soak_server* soak_world::at(const endpoint& address)
{
    const std::size_t place = address.port - first_server_port;
    return place < m_servers.size() ? &m_servers[place] : nullptr;
}

void soak_world::receive(std::size_t index, std::uint64_t process,
                         const start_exchange& command, bool was_leaving)
{
    soak_server& server = *at(command.address);
    const auto how = server.receive(command.server_name, m_now, m_random);
    if (how == reception::refused || how == reception::silent) {
        after(how == reception::silent ? connect_timeout : delay(),
              [this, index, process, command, how] {
                  end_exchange(index, process, command.exchange,
                               exchange_failure{
                                   how == reception::silent
                                       ? exchange_fault::not_connected
                                       : exchange_fault::connection_refused});
              });
        return;
    }
    arrival came;
    came.request = command.request->id;
    came.vm = index;
    came.server = command.server;
    came.service = server.entry.service;
    came.workspace = command.workspace;
    came.at = m_now;
    came.server_was_leaving = was_leaving;
    came.run = how == reception::run;
    m_trace.arrivals.push_back(came);
    if (came.run) {
        run(index, process, command, server, m_trace.arrivals.size() - 1);
        return;
    }
    backend_answer answer;
    answer.status = how == reception::misdirected ? 421 : 503;
    answer.misdirected = how == reception::misdirected;
    answer.not_run = true;
    answer.message = std::make_shared<const relayed_message>();
    end_exchange(index, process, command.exchange, answer);
}

void soak_world::probe(std::size_t index, const probe_server& command)
{
    const std::uint64_t process = m_vms[index].process;
    after(delay() * 2, [this, index, process, command] {
        const soak_server& server = *at(command.address);
        const link_state links = m_vms[index].links;
        const bool silent = links == link_state::silent ||
                            (links == link_state::up && server.dark);
        const bool accepted = links == link_state::up && server.up;
        const probe_result result = accepted ? probe_result::accepted
                                    : silent ? probe_result::unreachable
                                             : probe_result::refused;
        in_process(index, process, [this, index, command, result] {
            feed(index, server_probed{command.server, result});
        });
    });
}

void soak_world::run(std::size_t index, std::uint64_t process,
                     const start_exchange& command, soak_server& server,
                     std::size_t arrival)
{
    m_trace.arrivals[arrival].receipt =
        "receipt-" + std::to_string(m_trace.arrivals.size());
    m_trace.arrivals[arrival].body = records(m_random);
    const duration work = server.work(m_now, m_random);
    ++server.running;
    const std::string name = server.entry.name;
    const std::size_t place = command.address.port - first_server_port;
    const exchange_id exchange = command.exchange;
    if (command.request->target.find(fatal_path) != std::string::npos) {
        crash(place, false);
        end_exchange(index, process, exchange,
                     exchange_failure{exchange_fault::connection_lost});
        return;
    }
    after(work, [this, index, process, exchange, name, place, arrival] {
        finish_run(index, process, exchange, name, place, arrival);
    });
}

void soak_world::finish_run(std::size_t index, std::uint64_t process,
                            exchange_id exchange,
                            const std::string& server_name, std::size_t place,
                            std::size_t arrival)
{
    soak_server& server = m_servers[place];
    if (!server.up || server.entry.name != server_name) {
        end_exchange(index, process, exchange,
                     exchange_failure{exchange_fault::connection_lost});
        return;
    }
    server.running -= server.running > 0 ? 1 : 0;
    const auto& came = m_trace.arrivals[arrival];
    backend_answer answer;
    answer.status = 200;
    answer.receipt = came.receipt;
    switch (server.end_of_run(m_now, m_random)) {
    case run_end::answer_lost:
        end_exchange(index, process, exchange,
                     exchange_failure{exchange_fault::connection_lost});
        return;
    case run_end::garbled:
        end_exchange(index, process, exchange,
                     exchange_failure{exchange_fault::invalid_answer});
        return;
    case run_end::failed:
        answer.status = 500;
        break;
    case run_end::answered:
        break;
    }
    answer.message = std::make_shared<const relayed_message>(
        relayed_message{answer.status, "", came.body});
    end_exchange(index, process, exchange, answer);
}

void soak_world::end_exchange(
    std::size_t index, std::uint64_t process, exchange_id exchange,
    std::variant<backend_answer, exchange_failure> result)
{
    after(delay(), [this, index, process, exchange, result] {
        const bool answered = std::holds_alternative<backend_answer>(result);
        if (!answered || !loses_answer(index, process, exchange)) {
            deliver_end(index, process, {exchange, result});
        }
    });
}

void soak_world::deliver_end(std::size_t index, std::uint64_t process,
                             const exchange_ended& ended)
{
    in_process(index, process, [this, index, ended] { feed(index, ended); });
}

} // namespace cranberrywood::soak
