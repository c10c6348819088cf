#include "loop/probe_front.hpp"

namespace cranberrywood {

namespace {

constexpr unsigned not_found = 404;

} // namespace

probe_front::probe_front(loop_context& loop) : m_front(loop, *this) {}

void probe_front::serve(const std::string& path, page answer)
{
    m_pages[path] = std::move(answer);
}

std::optional<std::string> probe_front::listen(const endpoint& address)
{
    return m_front.listen(address);
}

void probe_front::sweep(time_point now)
{
    m_front.sweep(now);
}

void probe_front::request_read(caller_token token, http_request request)
{
    const auto target = request.target();
    const std::string path(target.substr(0, target.find('?')));
    const auto found = m_pages.find(path);
    m_front.answer(token, found == m_pages.end()
                              ? http_answer_text{not_found, "", ""}
                              : found->second());
}

void probe_front::caller_closed(caller_token /*token*/)
{
    // Every request was answered when it was read.
}

void probe_front::bytes_refused(unsigned /*status*/)
{
    // The refusal is all there is to say to a prober.
}

} // namespace cranberrywood
