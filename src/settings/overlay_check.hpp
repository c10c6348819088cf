#ifndef CRANBERRYWOOD_SETTINGS_OVERLAY_CHECK_HPP
#define CRANBERRYWOOD_SETTINGS_OVERLAY_CHECK_HPP

#include "settings/merged_settings.hpp"

namespace cranberrywood {

/**
 * Checks that an overlay changes only what a site's overlay may change.
 * Fleet is what the base file alone describes.
 */
void check_overlay(const ini_document& overlay, const std::string& site,
                   const merged_settings& base, const settings_index& fleet,
                   std::vector<settings_error>& errors);

} // namespace cranberrywood

#endif
