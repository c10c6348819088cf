#ifndef CRANBERRYWOOD_TESTS_STANDINS_PUBLISHED_FOLDER_HPP
#define CRANBERRYWOOD_TESTS_STANDINS_PUBLISHED_FOLDER_HPP

#include "settings/published_value.hpp"

#include <string>

namespace cranberrywood::standins {

/**
 * Reads base.ini and overlays/SITE.ini of a folder as one published value and
 * gives it a new, larger revision number when its content has changed.
 */
class published_folder
{
public:
    explicit published_folder(std::string path);

    /** Reads the folder again; returns whether the content has changed. */
    bool refresh();

    const published_value& value() const
    {
        return m_value;
    }

private:
    std::string m_path;
    published_value m_value;
};

} // namespace cranberrywood::standins

#endif
