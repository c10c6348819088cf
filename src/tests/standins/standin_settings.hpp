#ifndef CRANBERRYWOOD_TESTS_STANDINS_STANDIN_SETTINGS_HPP
#define CRANBERRYWOOD_TESTS_STANDINS_STANDIN_SETTINGS_HPP

#include "units/time.hpp"

#include <string>
#include <variant>

namespace cranberrywood::standins {

/** How long backend servers take for a request, and when they are warm. */
struct work_settings
{
    duration shortest = std::chrono::milliseconds(2);
    /** Largest time on top of the shortest, evenly spread. */
    duration spread = std::chrono::milliseconds(6);
    /** Requests per million that straggle. */
    std::uint32_t straggler_ppm = 0;
    duration straggler = std::chrono::milliseconds(200);
    /** Completed requests after which a cold server is warm. */
    std::uint32_t warm_after = 8;
    /** Time that a server that died needs to start again. */
    duration restart = std::chrono::milliseconds(500);
};

/** Settings file of the stand-in for the platform. */
struct standin_settings
{
    /** Folder with base.ini and overlays/SITE.ini. */
    std::string folder;
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint64_t seed = 1;
    /** Age of the VM list that is served. */
    duration list_lag = std::chrono::milliseconds(500);
    work_settings work;
};

/** Reads the text of a settings file; a string tells what is wrong. */
std::variant<standin_settings, std::string>
read_standin_settings(const std::string& text);

} // namespace cranberrywood::standins

#endif
