#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_VALUE_FILES_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_VALUE_FILES_HPP

#include "settings/settings_reader.hpp"

namespace cranberrywood::ctl {

/** A published value that stands in files, and the paths of its parts. */
class value_files
{
public:
    /** Takes the path of the base file. */
    explicit value_files(const std::string& base);

    /** Adds an overlay; its site is the file's name without extension. */
    void add_overlay(const std::string& path);

    /** Adds an overlay for a site. */
    void add_overlay(const std::string& path, const std::string& site);

    /** Returns the value. */
    const published_value& value() const
    {
        return m_value;
    }

    /** Returns the paths that could not be read. */
    const std::vector<std::string>& unreadable() const
    {
        return m_unreadable;
    }

    /** Returns an error or origin with the path in place of the file name. */
    std::string with_path(const std::string& text) const;

private:
    std::string read(const std::string& path);

    published_value m_value;
    std::vector<std::string> m_unreadable;
    std::map<std::string, std::string> m_paths;
};

/** Returns the site that an overlay's path stands for. */
std::string site_of_path(const std::string& path);

} // namespace cranberrywood::ctl

#endif
