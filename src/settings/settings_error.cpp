#include "settings/settings_error.hpp"

#include <algorithm>
#include <tuple>

namespace cranberrywood {

namespace {

auto order_of(const settings_error& e)
{
    return std::tie(e.file, e.line, e.section, e.key, e.why);
}

} // namespace

std::string settings_error::text() const
{
    std::string place = section.empty() ? "value" : section;
    if (!key.empty()) {
        place += '.' + key;
    }
    return file + ':' + std::to_string(line) + ": " + place + ": " + why;
}

bool operator<(const settings_error& a, const settings_error& b)
{
    return order_of(a) < order_of(b);
}

bool operator==(const settings_error& a, const settings_error& b)
{
    return order_of(a) == order_of(b);
}

void tidy(std::vector<settings_error>& errors)
{
    std::sort(errors.begin(), errors.end());
    errors.erase(std::unique(errors.begin(), errors.end()), errors.end());
}

} // namespace cranberrywood
