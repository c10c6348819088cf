#include "cranberrywoodctl/query_command.hpp"

#include "cranberrywoodctl/request_arguments.hpp"

namespace cranberrywood::ctl {

int query_command(const words& arguments)
{
    TCLAP::CmdLine line("Sends a query to a VM and prints the answer and what "
                        "it covers.");
    const request_arguments request(line);
    TCLAP::SwitchArg as_json("", "json", "Print the answer as JSON", line);
    TCLAP::UnlabeledValueArg<std::string> vm("vm", "Address of the VM", true,
                                             "", "HOST:PORT", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    vm_client client(vm.getValue(), request.timeout());
    return print_answer(
        client.post("/v1/query", request.key(), request.query_json()),
        as_json.getValue());
}

} // namespace cranberrywood::ctl
