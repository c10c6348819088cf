#include "loop/message_framing.hpp"

#include <boost/beast/core/string.hpp>

namespace cranberrywood {

namespace http = boost::beast::http;

bool has_known_framing(const http::fields& headers)
{
    const auto lines = headers.equal_range(http::field::transfer_encoding);
    if (lines.first == lines.second) {
        return true;
    }
    return std::next(lines.first) == lines.second &&
           boost::beast::iequals(lines.first->value(), "chunked");
}

} // namespace cranberrywood
