#include "settings/text_check.hpp"

#include <cstddef>
#include <cstdint>

namespace cranberrywood {

namespace {

/** Shape of a UTF-8 sequence that begins with a given byte. */
struct sequence_shape
{
    std::size_t length = 0;
    std::uint32_t lead_bits = 0;
    /** Smallest code point that needs this length. */
    std::uint32_t smallest = 0;
};

sequence_shape shape_of(unsigned char lead)
{
    if (lead < 0x80) {
        return {1, lead, 0};
    }
    if ((lead & 0xE0U) == 0xC0) {
        return {2, lead & 0x1FU, 0x80};
    }
    if ((lead & 0xF0U) == 0xE0) {
        return {3, lead & 0x0FU, 0x800};
    }
    if ((lead & 0xF8U) == 0xF0) {
        return {4, lead & 0x07U, 0x10000};
    }
    return {};
}

bool is_scalar_value(std::uint32_t point)
{
    const bool surrogate = point >= 0xD800 && point <= 0xDFFF;
    return point <= 0x10FFFF && !surrogate;
}

} // namespace

bool is_utf8(std::string_view bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto shape = shape_of(static_cast<unsigned char>(bytes[at]));
        if (shape.length == 0 || shape.length > bytes.size() - at) {
            return false;
        }
        std::uint32_t point = shape.lead_bits;
        for (std::size_t i = 1; i < shape.length; ++i) {
            const auto next = static_cast<unsigned char>(bytes[at + i]);
            if ((next & 0xC0U) != 0x80) {
                return false;
            }
            point = (point << 6U) | (next & 0x3FU);
        }
        if (point < shape.smallest || !is_scalar_value(point)) {
            return false;
        }
        at += shape.length;
    }
    return true;
}

bool has_control_characters(std::string_view bytes)
{
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x20 && byte != '\t') || byte == 0x7F) {
            return true;
        }
    }
    return false;
}

} // namespace cranberrywood
