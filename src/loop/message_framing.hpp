#ifndef CRANBERRYWOOD_LOOP_MESSAGE_FRAMING_HPP
#define CRANBERRYWOOD_LOOP_MESSAGE_FRAMING_HPP

#include <boost/beast/http/fields.hpp>

namespace cranberrywood {

/**
 * Returns whether a message's body is framed by a length, by chunks or by the
 * end of its connection alone. Any transfer coding but a single `chunked` makes
 * the end of the body, or its content, unknown to this reader.
 */
bool has_known_framing(const boost::beast::http::fields& headers);

} // namespace cranberrywood

#endif
