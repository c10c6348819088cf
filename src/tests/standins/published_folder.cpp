#include "tests/standins/published_folder.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cranberrywood::standins {

namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

published_value read_folder(const std::string& path)
{
    published_value value;
    value.base = read_file(fs::path(path) / "base.ini");
    const fs::path overlays = fs::path(path) / "overlays";
    if (fs::is_directory(overlays)) {
        for (const auto& file : fs::directory_iterator(overlays)) {
            value.overlays.push_back(
                {file.path().stem().string(), read_file(file.path())});
        }
    }
    std::sort(value.overlays.begin(), value.overlays.end(),
              [](const auto& a, const auto& b) { return a.site < b.site; });
    return value;
}

std::uint64_t milliseconds_since_epoch()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

published_folder::published_folder(std::string path) : m_path(std::move(path))
{
    refresh();
}

// Numbers come from the calendar clock, so that they grow also when the
// stand-in is started again.
bool published_folder::refresh()
{
    published_value read = read_folder(m_path);
    if (read.base == m_value.base && read.overlays == m_value.overlays) {
        return false;
    }
    read.revision = revision_number(
        std::max(milliseconds_since_epoch(), m_value.revision.value() + 1));
    m_value = std::move(read);
    return true;
}

} // namespace cranberrywood::standins
