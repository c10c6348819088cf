#ifndef CRANBERRYWOOD_LOOP_PLATFORM_ADAPTER_HPP
#define CRANBERRYWOOD_LOOP_PLATFORM_ADAPTER_HPP

#include "core/gateway_messages.hpp"
#include "loop/answer_match.hpp"
#include "loop/http_types.hpp"
#include "systems/store/store_messages.hpp"

#include <string>
#include <variant>

namespace cranberrywood {

/** A request that is not proper, and the status that says so. */
struct improper_request
{
    unsigned status = 400;
    std::string why;
};

/**
 * Names and formats of the platform that a gateway runs on. Translates, and
 * decides nothing.
 */
class platform_adapter
{
public:
    virtual ~platform_adapter() = default;

    virtual std::variant<request_received, improper_request>
    read_request(caller_token token, http_request&& request) const = 0;
    virtual http_answer_text
    write_answer(const gateway_answer& answer) const = 0;

    /** Returns the bytes of a request to a backend server. */
    virtual std::string
    write_exchange(const start_exchange& exchange) const = 0;
    /** Returns whether an answer is to the request with this id. */
    virtual answer_match match(const http_response& response,
                               const std::string& request_id) const = 0;
    virtual backend_answer read_answer(http_response&& response) const = 0;

    /** A serializable list may be answered by any replica of the store. */
    virtual std::string list_target(store_area area,
                                    const std::string& after_key,
                                    bool serializable) const = 0;
    virtual std::string watch_target(store_area area, store_revision after,
                                     duration wait) const = 0;
    virtual std::variant<store_page, store_fault>
    read_page(const http_response& response) const = 0;
    /** Reads an item that another VM has read and passed on. */
    virtual store_change read_passed_on(const std::string& key,
                                        store_position position, bool removed,
                                        const std::string& bytes) const = 0;
    /** Returns the area of the store that a key lies in. */
    virtual store_area area_of(const std::string& key) const = 0;
};

} // namespace cranberrywood

#endif
