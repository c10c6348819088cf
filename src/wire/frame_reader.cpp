#include "wire/frame_reader.hpp"

namespace cranberrywood {

namespace {

/** Consumed bytes are moved out of the buffer once they exceed this. */
constexpr std::size_t compaction_bytes = 64UL * 1024;
constexpr unsigned bits_per_byte = 8;

} // namespace

std::string make_frame(std::string_view payload)
{
    std::string frame;
    frame.reserve(frame_header_bytes + payload.size());
    for (std::size_t i = frame_header_bytes; i-- > 0;) {
        const std::size_t shifted = payload.size() >> (bits_per_byte * i);
        frame.push_back(static_cast<char>(shifted & 0xff));
    }
    frame.append(payload);
    return frame;
}

frame_reader::frame_reader(std::size_t max_frame_bytes)
    : m_max_frame_bytes(max_frame_bytes)
{
}

void frame_reader::append(std::string_view bytes)
{
    m_buffer.append(bytes);
}

std::variant<frame_incomplete, std::string, wire_error> frame_reader::next()
{
    if (m_buffer.size() - m_consumed < frame_header_bytes) {
        drop_consumed();
        return frame_incomplete{};
    }
    const std::size_t length = announced_length();
    if (length > m_max_frame_bytes) {
        return wire_error{wire_fault::frame_too_large,
                          "frame of " + std::to_string(length) + " bytes"};
    }
    const std::size_t begin = m_consumed + frame_header_bytes;
    if (m_buffer.size() - begin < length) {
        drop_consumed();
        return frame_incomplete{};
    }
    std::string payload = m_buffer.substr(begin, length);
    m_consumed = begin + length;
    if (m_consumed > compaction_bytes) {
        drop_consumed();
    }
    return payload;
}

std::size_t frame_reader::announced_length() const
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        const auto byte = static_cast<unsigned char>(m_buffer[m_consumed + i]);
        length = (length << bits_per_byte) | byte;
    }
    return length;
}

void frame_reader::drop_consumed()
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
}

} // namespace cranberrywood
