#include "cranberrywoodctl/lookup_command.hpp"

#include "cranberrywoodctl/request_arguments.hpp"

namespace cranberrywood::ctl {

int lookup_command(const words& arguments)
{
    TCLAP::CmdLine line("Sends a lookup, which runs at most once, to a VM. "
                        "Send it again with the same request id.");
    const request_arguments request(line);
    TCLAP::ValueArg<std::string> id("i", "request-id", "Id of the request",
                                    true, "", "ID", line);
    TCLAP::ValueArg<std::uint64_t> shard_key(
        "", "shard-key", "Shard key to look up", true, 0, "NUMBER", line);
    TCLAP::SwitchArg as_json("", "json", "Print the answer as JSON", line);
    TCLAP::UnlabeledValueArg<std::string> vm("vm", "Address of the VM", true,
                                             "", "HOST:PORT", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    vm_client client(vm.getValue(), request.timeout());
    return print_answer(
        client.post("/v1/lookup", request.key(),
                    request.lookup_json(id.getValue(), shard_key.getValue())),
        as_json.getValue());
}

} // namespace cranberrywood::ctl
