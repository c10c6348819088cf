#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_REQUEST_ARGUMENTS_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_REQUEST_ARGUMENTS_HPP

#include "cranberrywoodctl/command_line.hpp"
#include "cranberrywoodctl/vm_client.hpp"

namespace cranberrywood::ctl {

/** Arguments that query, lookup and load share. */
class request_arguments
{
public:
    explicit request_arguments(TCLAP::CmdLine& line);

    /** Returns the key; from CRANBERRYWOOD_KEY when no option gives it. */
    std::string key() const;

    /** Returns the body of a query as JSON text. */
    std::string query_json() const;

    /** Returns the body of a lookup as JSON text. */
    std::string lookup_json(const std::string& request_id,
                            std::uint64_t shard_key) const;

    /** Returns how long to wait for an answer: the deadline and a margin. */
    std::chrono::milliseconds timeout() const;

private:
    TCLAP::ValueArg<std::string> m_service;
    TCLAP::ValueArg<std::string> m_key;
    TCLAP::ValueArg<std::uint32_t> m_deadline;
    TCLAP::ValueArg<std::uint32_t> m_hits;
    TCLAP::ValueArg<std::string> m_body;
};

/** Prints an answer; exit code 0 when the request was answered. */
int print_answer(const vm_result& result, bool as_json);

} // namespace cranberrywood::ctl

#endif
