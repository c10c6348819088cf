#ifndef CRANBERRYWOOD_SETTINGS_SETTINGS_ERROR_HPP
#define CRANBERRYWOOD_SETTINGS_SETTINGS_ERROR_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace cranberrywood {

/** One mistake in a published value and where it stands. */
struct settings_error
{
    std::string file;
    std::uint32_t line = 0;
    /** Section heading without brackets; empty when none is at fault. */
    std::string section;
    /** Key at fault; empty when the whole section is. */
    std::string key;
    std::string why;

    /** Returns the error as `file:line: section.key: reason`. */
    std::string text() const;
};

bool operator<(const settings_error& a, const settings_error& b);
bool operator==(const settings_error& a, const settings_error& b);

/** Sorts errors by file and line and drops those that stand twice. */
void tidy(std::vector<settings_error>& errors);

} // namespace cranberrywood

#endif
