#include "settings/settings_reader.hpp"
#include "tests/standins/platform_service.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <pthread.h>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using namespace cranberrywood;
using namespace cranberrywood::standins;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Reads the fleet; all sites name the same VMs and backend servers. */
std::shared_ptr<const settings_index> read_fleet(const std::string& folder)
{
    const auto read = read_settings(published_folder(folder).value());
    if (const auto* errors = std::get_if<std::vector<settings_error>>(&read)) {
        for (const settings_error& error : *errors) {
            std::cerr << error.text() << '\n';
        }
        return nullptr;
    }
    return std::get<accepted_settings>(read).sites.begin()->second;
}

std::vector<std::string> vm_names(const settings_index& fleet)
{
    std::vector<std::string> names;
    for (const vm_settings& vm : fleet.all().vms) {
        names.push_back(vm.name);
    }
    return names;
}

void wait_for_signal(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

int serve(const standin_settings& settings, const sigset_t& signals)
{
    const auto fleet = read_fleet(settings.folder);
    if (!fleet) {
        return exit_failed;
    }
    caf::actor_system_config config;
    config.load<caf::io::middleman>();
    config.set("scheduler.policy", caf::atom("sharing"));
    config.set("scheduler.max-threads", std::size_t{1});
    caf::actor_system system(config);
    auto board = std::make_shared<counter_board>();
    caf::actor_config broker_config{&system.middleman().backend()};
    const auto broker =
        system.spawn_class<backend_broker, caf::no_spawn_options>(
            broker_config, fleet, settings, board);
    int result = 0;
    {
        platform_service service(
            settings, vm_names(*fleet), board,
            [broker](const order_for_server& o) { caf::anon_send(broker, o); });
        if (service.start()) {
            wait_for_signal(signals);
        } else {
            std::cerr << "port " << settings.port << " is not free\n";
            result = exit_failed;
        }
    }
    caf::anon_send_exit(broker, caf::exit_reason::user_shutdown);
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // All threads of the process inherit the mask.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        TCLAP::CmdLine command("Stands in for the platform.", ' ', "1.0");
        TCLAP::ValueArg<std::string> path("s", "settings", "Settings file",
                                          true, "", "FILE", command);
        command.parse(argc, argv);
        const auto read = read_standin_settings(read_file(path.getValue()));
        if (const auto* error = std::get_if<std::string>(&read)) {
            std::cerr << path.getValue() << ": " << *error << '\n';
            return exit_usage;
        }
        return serve(std::get<standin_settings>(read), signals);
    } catch (const TCLAP::ArgException& e) {
        std::cerr << e.argId() << ": " << e.error() << '\n';
        return exit_usage;
    }
}
