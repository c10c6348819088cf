#ifndef CRANBERRYWOOD_TESTS_PROCESS_STANDIN_STORE_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_STANDIN_STORE_HPP

#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace cranberrywood::tests {

/**
 * Stand-in for the platform's store: lists in pages and watches. Keeps items in
 * memory; each call is answered by a thread of its own.
 */
class standin_store
{
public:
    /** Lists have at most `page_items` items a page. */
    standin_store(const std::string& host, std::size_t page_items);
    ~standin_store();
    standin_store(const standin_store&) = delete;
    standin_store& operator=(const standin_store&) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Writes an item with any key and value. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Returns how many list calls were answered. */
    std::uint64_t lists();

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    void list(const httplib::Request& request, httplib::Response& response);
    void watch(const httplib::Request& request, httplib::Response& response);

    std::size_t m_page_items;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lists = 0;
    bool m_stopping = false;
    httplib::Server m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace cranberrywood::tests

#endif
