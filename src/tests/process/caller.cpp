#include "process/caller.hpp"

#include <algorithm>

namespace cranberrywood::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds poll_interval{20};
/** Time beyond its deadline after which a request counts as never answered. */
constexpr milliseconds patience{3000};
constexpr milliseconds pause_when_refused{20};

/** Takes a whole answer off the bytes; returns whether there is one. */
bool take_answer(std::string& bytes, call_result& result)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const std::string head = bytes.substr(0, end + 2);
    const std::string length = header_of(head, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (bytes.size() < end + 4 + size) {
        return false;
    }
    result.head = head;
    result.body = bytes.substr(end + 4, size);
    bytes.erase(0, end + 4 + size);
    return true;
}

} // namespace

caller::caller(unsigned number, unsigned vm, std::vector<caller_target> vms,
               caller_habits habits, std::uint32_t seed)
    : m_number(number), m_vm(vm), m_vms(std::move(vms)),
      m_habits(std::move(habits)), m_random(seed), m_thread([this] { run(); })
{
}

caller::~caller()
{
    finish();
}

std::vector<call_result> caller::finish()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_results;
}

void caller::run()
{
    while (!m_stopping) {
        plain_socket connection(connect_to(m_vms[m_vm].host, m_vms[m_vm].port));
        if (!connection.is_open()) {
            const auto now = steady_clock::now();
            m_results.push_back(
                {"", m_vm, "", now, now, call_end::refused, false, "", ""});
            m_vm = m_habits.moves ? (m_vm + 1) % m_vms.size() : m_vm;
            std::this_thread::sleep_for(pause_when_refused);
            continue;
        }
        use(connection);
    }
}

void caller::use(plain_socket& connection)
{
    m_input.clear();
    for (unsigned i = 0; i < m_habits.per_connection && !m_stopping; ++i) {
        std::vector<call_result> calls;
        for (unsigned n = 0; n < m_habits.pipelined; ++n) {
            calls.push_back(send(connection, i > 0));
        }
        bool closes = false;
        for (call_result& call : calls) {
            await_answer(connection, call);
            closes = closes || call.end != call_end::answered ||
                     header_of(call.head, "Connection") == "close";
            m_results.push_back(std::move(call));
        }
        if (closes) {
            return;
        }
        const auto pause = m_random() % (m_habits.most_pause.count() + 1);
        std::this_thread::sleep_for(milliseconds(pause));
    }
}

call_result caller::send(plain_socket& connection, bool kept)
{
    call_result result;
    result.id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
    result.vm = m_vm;
    result.kept = kept;
    result.target = m_habits.targets[m_random() % m_habits.targets.size()];
    result.sent = steady_clock::now();
    connection.write(
        "GET " + result.target +
        " HTTP/1.1\r\nHost: lots.example\r\nRequest-Id: " + result.id +
        "\r\nRequest-Deadline: " + std::to_string(m_habits.deadline.count()) +
        "\r\n\r\n");
    return result;
}

void caller::await_answer(plain_socket& connection, call_result& result)
{
    if (read_answer(connection, result)) {
        result.end = call_end::answered;
    }
    result.ended = steady_clock::now();
}

bool caller::read_answer(plain_socket& connection, call_result& result)
{
    const auto until = result.sent + m_habits.deadline + patience;
    while (!take_answer(m_input, result)) {
        if (steady_clock::now() >= until) {
            return false;
        }
        const read_end why = connection.read(m_input, poll_interval);
        if (why == read_end::closed || why == read_end::reset) {
            result.end = call_end::closed;
            result.body = m_input;
            return false;
        }
    }
    return true;
}

} // namespace cranberrywood::tests
