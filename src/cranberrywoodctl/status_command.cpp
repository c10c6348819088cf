#include "cranberrywoodctl/status_command.hpp"

#include "cranberrywoodctl/vm_client.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace cranberrywood::ctl {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds status_timeout{2000};

/** Returns a VM's state, or an object that says why there is none. */
json status_of(const std::string& vm)
{
    vm_client client(vm, status_timeout);
    const vm_result result = client.get("/status");
    json state;
    if (const auto* answer = std::get_if<vm_answer>(&result)) {
        state = json::parse(answer->body, nullptr, false);
    }
    if (!state.is_object()) {
        const auto* unreachable = std::get_if<vm_unreachable>(&result);
        state = {{"error", unreachable == nullptr ? "answer is no JSON object"
                                                  : unreachable->why}};
    }
    state["address"] = vm;
    return state;
}

void print_state(const json& state)
{
    std::cout << state.at("address").get<std::string>();
    for (const auto& [name, value] : state.items()) {
        if (!value.is_structured() && name != "address") {
            std::cout << ' ' << name << '=' << value.dump();
        }
    }
    std::cout << '\n';
}

} // namespace

int status_command(const words& arguments)
{
    TCLAP::CmdLine line("Prints the state of VMs, one line each. Ends with 1 "
                        "when one does not answer or is not ready.");
    TCLAP::SwitchArg as_json("", "json", "Print all as one JSON array", line);
    TCLAP::UnlabeledMultiArg<std::string> vms("vms", "Addresses of VMs", true,
                                              "HOST:PORT", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    bool all_ready = true;
    json all = json::array();
    for (const auto& vm : vms.getValue()) {
        all.push_back(status_of(vm));
        const auto ready = all.back().find("ready");
        all_ready = all_ready && ready != all.back().end() && *ready == true;
    }
    if (as_json.getValue()) {
        std::cout << all.dump(2) << '\n';
    } else {
        for (const auto& state : all) {
            print_state(state);
        }
    }
    return all_ready ? exit_ok : exit_no;
}

} // namespace cranberrywood::ctl
