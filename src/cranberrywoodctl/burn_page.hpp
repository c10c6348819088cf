#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_BURN_PAGE_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_BURN_PAGE_HPP

#include "cranberrywoodctl/burn_report.hpp"

namespace cranberrywood::ctl {

/** Returns a page with the rows and a plot; it needs no other file. */
std::string burn_page(const std::vector<burn_row>& rows);

} // namespace cranberrywood::ctl

#endif
