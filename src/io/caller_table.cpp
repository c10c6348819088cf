#include "io/caller_table.hpp"

namespace cranberrywood {

caller_token caller_table::open()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const caller_token token(++m_last_token);
    m_entries.emplace(token, std::make_shared<entry>());
    return token;
}

void caller_table::answer(caller_token token, response r)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (const auto found = find(token)) {
        found->answer = std::move(r);
        found->changed.notify_one();
    }
}

std::optional<response> caller_table::wait(caller_token token,
                                           std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto found = find(token);
    if (!found) {
        return std::nullopt;
    }
    found->changed.wait_for(lock, limit,
                            [&] { return found->answer.has_value(); });
    return std::exchange(found->answer, std::nullopt);
}

void caller_table::close(caller_token token)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.erase(token);
}

std::shared_ptr<caller_table::entry> caller_table::find(caller_token token)
{
    const auto it = m_entries.find(token);
    return it == m_entries.end() ? nullptr : it->second;
}

} // namespace cranberrywood
