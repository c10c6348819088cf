#ifndef CRANBERRYWOOD_TESTS_PROCESS_PLAIN_SOCKET_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_PLAIN_SOCKET_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace cranberrywood::tests {

/** How a read ended. */
enum class read_end : std::uint8_t
{
    bytes,
    nothing_yet,
    closed,
    reset,
};

/** A connected socket that is read and written byte by byte. */
class plain_socket
{
public:
    explicit plain_socket(int socket) : m_socket(socket) {}
    ~plain_socket();
    plain_socket(const plain_socket&) = delete;
    plain_socket& operator=(const plain_socket&) = delete;

    bool is_open() const
    {
        return m_socket >= 0;
    }
    /** Appends what comes within the time. */
    read_end read(std::string& to, std::chrono::milliseconds wait);
    /** Writes all bytes; returns whether the system took them. */
    bool write(const std::string& bytes);
    /** Writes until the peer takes no more for a moment. */
    void write_some(const std::string& bytes);
    /** Reads one byte if there is one. */
    void read_byte();

private:
    int m_socket;
};

/** Connects; returns -1 if the connection is refused. */
int connect_to(const std::string& host, std::uint16_t port);
/** Listens at a free port, which it sets. */
int listen_at(const std::string& host, std::uint16_t& port);
bool wait_readable(int socket, std::chrono::milliseconds wait);
/** Returns the value of a header of a head whose lines end with CRLF. */
std::string header_of(const std::string& head, const std::string& name);

} // namespace cranberrywood::tests

#endif
