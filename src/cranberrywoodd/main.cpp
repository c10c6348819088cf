#include "io/log_sink.hpp"
#include "io/process_settings.hpp"
#include "io/vm_process.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <pthread.h>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using namespace cranberrywood;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr auto leave_poll = std::chrono::milliseconds(100);

/** Signals that ask the process to leave; a second one ends it at once. */
sigset_t leave_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Reads the settings or writes to standard error why they are no good. */
std::optional<process_settings> load_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    auto read = read_process_settings(*text);
    if (const auto* errors = std::get_if<process_settings_errors>(&read)) {
        for (const std::string& error : *errors) {
            std::cerr << path << ':' << error << '\n';
        }
        return std::nullopt;
    }
    return std::get<process_settings>(read);
}

/** Serves until a signal asks to leave and the node has left. */
int serve(process_settings settings)
{
    const sigset_t signals = leave_signals();
    // All threads of the process inherit the mask.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    vm_process process(std::move(settings));
    if (!process.start()) {
        std::cerr << "HTTP port is not free\n";
        process.stop();
        return exit_failed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    process.request_leave();
    while (!process.wait_left(leave_poll)) {
    }
    process.stop();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command("Serves queries on one VM of the fleet.", ' ',
                               "1.0");
        TCLAP::ValueArg<std::string> path("s", "settings",
                                          "Settings file of this VM", true, "",
                                          "FILE", command);
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        start_log(argv[0]);
        auto settings = load_settings(path.getValue());
        return settings ? serve(std::move(*settings)) : exit_usage;
    } catch (const TCLAP::ArgException& e) {
        std::cerr << e.argId() << ": " << e.error() << '\n';
        return exit_usage;
    } catch (const TCLAP::ExitException& e) {
        return e.getExitStatus();
    }
}
