#ifndef CRANBERRYWOOD_SETTINGS_PUBLISHED_VALUE_HPP
#define CRANBERRYWOOD_SETTINGS_PUBLISHED_VALUE_HPP

#include "units/ids.hpp"

#include <string>
#include <vector>

namespace cranberrywood {

/** Text of one site's overlay. */
struct published_overlay
{
    std::string site;
    std::string text;

    friend bool operator==(const published_overlay& a,
                           const published_overlay& b)
    {
        return a.site == b.site && a.text == b.text;
    }
};

/** What the configuration service publishes as one revision. */
struct published_value
{
    revision_number revision;
    std::string base;
    std::vector<published_overlay> overlays;
};

} // namespace cranberrywood

#endif
