#ifndef CRANBERRYWOOD_LOOP_HTTP_TYPES_HPP
#define CRANBERRYWOOD_LOOP_HTTP_TYPES_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace cranberrywood {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/** An answer to a caller before the front frames it. */
struct http_answer_text
{
    unsigned status = 200;
    /** Header lines, each ended by CR LF, without framing and connection. */
    std::string header_lines;
    std::string body;
};

} // namespace cranberrywood

#endif
