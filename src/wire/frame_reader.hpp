#ifndef CRANBERRYWOOD_WIRE_FRAME_READER_HPP
#define CRANBERRYWOOD_WIRE_FRAME_READER_HPP

#include "wire/wire_error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace cranberrywood {

/** Bytes of the length in front of each frame. */
constexpr std::size_t frame_header_bytes = 4;
/** Longest frame between VMs, in bytes without the length. */
constexpr std::size_t max_peer_frame_bytes = 2UL * 1024 * 1024;
/** Longest frame to or from a backend server, in bytes. */
constexpr std::size_t max_backend_frame_bytes = 1024UL * 1024;

/** Returns the payload with its length in front, as it goes on the link. */
std::string make_frame(std::string_view payload);

/** More bytes are needed before the next frame is whole. */
struct frame_incomplete
{
};

/**
 * Cuts the bytes of a link into frames. A frame is a length of four bytes,
 * most significant first, and that many bytes of payload. After an error the
 * link must be closed, as the place of the next frame is not known.
 */
class frame_reader
{
public:
    explicit frame_reader(std::size_t max_frame_bytes);

    /** Adds bytes as they come from the link. */
    void append(std::string_view bytes);

    /** Takes the payload of the next whole frame. */
    std::variant<frame_incomplete, std::string, wire_error> next();

private:
    std::size_t announced_length() const;
    void drop_consumed();

    std::size_t m_max_frame_bytes;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace cranberrywood

#endif
