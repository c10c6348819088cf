#include "process/play.hpp"
#include "process/vm_process.hpp"

#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace cranberrywood::tests;

constexpr int exit_broken = 1;
constexpr int exit_usage = 2;
constexpr int exit_interrupted = 3;
constexpr unsigned max_vms = 40;
constexpr unsigned max_length_s = 3600;
/** Findings of a rule that are printed in full. */
constexpr std::size_t printed_findings = 12;

using play = std::function<play_report(const play_plan&)>;

const std::map<std::string, play>& plays()
{
    static const std::map<std::string, play> all = {
        {"foreign_entries", play_foreign_entries},
        {"planned_stops", play_planned_stops},
        {"slow_callers", play_slow_callers},
        {"spoiled_heads", play_spoiled_heads},
    };
    return all;
}

/** Writes bytes so that a line stays a line. */
std::string printable(const std::string& bytes)
{
    std::string text;
    for (const char c : bytes) {
        const bool plain = c >= ' ' && c <= '~';
        text += plain ? c : '.';
    }
    return text;
}

void print(const std::string& name, const play_plan& plan,
           const play_report& report)
{
    std::cout << "play " << name << " seed " << plan.seed << " vms " << plan.vms
              << '\n';
    for (const auto& [what, count] : report.counts) {
        std::cout << "  " << what << ' ' << count << '\n';
    }
    std::map<std::string, std::size_t> of_rule;
    for (const finding& broken : report.findings) {
        if (++of_rule[broken.rule] <= printed_findings) {
            std::cout << "  BROKEN " << broken.rule << ": "
                      << printable(broken.seen) << '\n';
        }
    }
    for (const auto& [rule, count] : of_rule) {
        std::cout << "  broken " << rule << " times " << count << '\n';
    }
}

void print_json(const std::string& name, const play_plan& plan,
                const play_report& report)
{
    nlohmann::json text = {{"play", name},
                           {"seed", plan.seed},
                           {"vms", plan.vms},
                           {"counts", report.counts},
                           {"findings", nlohmann::json::array()}};
    for (const finding& broken : report.findings) {
        text["findings"].push_back(
            {{"rule", broken.rule}, {"seen", printable(broken.seen)}});
    }
    std::cout << text.dump(2) << '\n';
}

/** Keeps settings and logs of a run; removed when nothing was found. */
std::string new_folder()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "process-soak-XXXXXX")
            .string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error(path + ": cannot be made");
    }
    return path;
}

/** Ends the VMs, and then this process, when it is interrupted. */
void end_when_interrupted()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        end_all_vms();
        std::cerr << "interrupted\n";
        ::_exit(exit_interrupted);
    }).detach();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command(
            "Runs VM processes on loopback under faults from outside and "
            "checks what callers and backend servers see.",
            ' ', "1.0");
        std::vector<std::string> names;
        for (const auto& [name, unused] : plays()) {
            names.push_back(name);
        }
        TCLAP::ValuesConstraint<std::string> known(names);
        TCLAP::ValueArg<std::string> name("p", "play", "What is played", true,
                                          "", &known, command);
        TCLAP::ValueArg<std::string> program("x", "program", "Program of a VM",
                                             true, "", "FILE", command);
        TCLAP::ValueArg<std::uint32_t> seed("s", "seed", "Seed of the draws",
                                            false, 1, "N", command);
        TCLAP::ValueArg<unsigned> vms("n", "vms", "Number of VMs", false, 4,
                                      "N", command);
        TCLAP::ValueArg<unsigned> length("t", "seconds", "Length", false, 20,
                                         "S", command);
        TCLAP::ValueArg<unsigned> memory_factor(
            "m", "memory-factor",
            "Factor of the bounds of memory, for programs with a sanitizer",
            false, 1, "N", command);
        TCLAP::SwitchArg as_json("j", "json", "Report as JSON", command);
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        if (vms.getValue() < 1 || vms.getValue() > max_vms ||
            length.getValue() < 1 || length.getValue() > max_length_s) {
            std::cerr << "--vms takes 1 to " << max_vms << ", --seconds 1 to "
                      << max_length_s << '\n';
            return exit_usage;
        }
        if (::access(program.getValue().c_str(), X_OK) != 0) {
            std::cerr << program.getValue() << ": cannot be run\n";
            return exit_usage;
        }
        std::signal(SIGPIPE, SIG_IGN);
        end_when_interrupted();
        const play_plan plan{program.getValue(),
                             new_folder(),
                             seed.getValue(),
                             vms.getValue(),
                             std::chrono::seconds(length.getValue()),
                             memory_factor.getValue()};
        const play_report report = plays().at(name.getValue())(plan);
        (as_json.getValue() ? print_json : print)(name.getValue(), plan,
                                                  report);
        if (report.findings.empty()) {
            std::filesystem::remove_all(plan.folder);
            return 0;
        }
        std::cerr << "logs are in " << plan.folder << '\n';
        return exit_broken;
    } catch (const TCLAP::ArgException& e) {
        std::cerr << e.argId() << ": " << e.error() << '\n';
    } catch (const TCLAP::ExitException& e) {
        return e.getExitStatus();
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
    }
    return exit_usage;
}
