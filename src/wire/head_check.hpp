#ifndef CRANBERRYWOOD_WIRE_HEAD_CHECK_HPP
#define CRANBERRYWOOD_WIRE_HEAD_CHECK_HPP

#include <string_view>

namespace cranberrywood {

/** Returns whether an answer may have a status (RFC 9110, 15). */
constexpr bool is_status(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

/** Returns whether the text is a token of HTTP: a method or a field's name. */
bool is_token(std::string_view text);

/** Returns whether a text has neither blanks nor bytes that are not visible. */
bool is_visible_text(std::string_view text);

/** Returns whether a text can be the value of a field: one line of text. */
bool is_field_value(std::string_view text);

/**
 * Returns whether lines of a head, each ended by CR LF, are proper fields:
 * without folding, and without control bytes in a name or a value.
 */
bool are_proper_fields(std::string_view lines);

/** Returns whether a head, up to its empty line, is that of an answer. */
bool is_proper_answer_head(std::string_view head);

/** Returns whether a head, up to its empty line, is that of a request. */
bool is_proper_request_head(std::string_view head);

} // namespace cranberrywood

#endif
