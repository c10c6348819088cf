#include "cranberrywoodctl/value_files.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace cranberrywood::ctl {

value_files::value_files(const std::string& base)
{
    m_value.base = read(base);
    m_paths.emplace(base_file_name, base);
}

void value_files::add_overlay(const std::string& path)
{
    add_overlay(path, site_of_path(path));
}

void value_files::add_overlay(const std::string& path, const std::string& site)
{
    m_value.overlays.push_back({site, read(path)});
    m_paths.emplace(overlay_file_name(site), path);
}

std::string value_files::with_path(const std::string& text) const
{
    const std::size_t colon = text.find(':');
    const auto path = m_paths.find(text.substr(0, colon));
    if (colon == std::string::npos || path == m_paths.end()) {
        return text;
    }
    return path->second + text.substr(colon);
}

std::string value_files::read(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path)) {
        m_unreadable.push_back(path);
        return {};
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string site_of_path(const std::string& path)
{
    return std::filesystem::path(path).stem().string();
}

} // namespace cranberrywood::ctl
