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

/** Returns whether the bytes are a whole answer; splits it if so. */
bool is_whole(const std::string& bytes, call_result& result)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    result.head = bytes.substr(0, end + 2);
    const std::string length = header_of(result.head, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (bytes.size() < end + 4 + size) {
        return false;
    }
    result.body = bytes.substr(end + 4);
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
        for (unsigned i = 0; i < m_habits.per_connection && !m_stopping; ++i) {
            m_results.push_back(call(connection, i > 0));
            const call_result& last = m_results.back();
            if (last.end != call_end::answered ||
                header_of(last.head, "Connection") == "close") {
                break;
            }
            const auto pause = m_random() % (m_habits.most_pause.count() + 1);
            std::this_thread::sleep_for(milliseconds(pause));
        }
    }
}

call_result caller::call(plain_socket& connection, bool kept)
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
    result.end =
        read_answer(connection, result) ? call_end::answered : result.end;
    result.ended = steady_clock::now();
    return result;
}

bool caller::read_answer(plain_socket& connection, call_result& result)
{
    const auto until = result.sent + m_habits.deadline + patience;
    std::string bytes;
    while (steady_clock::now() < until) {
        const read_end why = connection.read(bytes, poll_interval);
        if (is_whole(bytes, result)) {
            return true;
        }
        if (why == read_end::closed || why == read_end::reset) {
            result.end = call_end::closed;
            result.body = bytes;
            return false;
        }
    }
    return false;
}

} // namespace cranberrywood::tests
