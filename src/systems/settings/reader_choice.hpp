#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_READER_CHOICE_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_READER_CHOICE_HPP

#include "core/events.hpp"
#include "settings/settings.hpp"

namespace cranberrywood {

/**
 * Returns the VMs of a data centre that read the configuration service: the
 * first readers_per_data_centre ones by rendezvous hashing among the listed VMs
 * that are not leaving. An empty list is not known yet; all VMs of the settings
 * are then candidates.
 */
std::vector<vm_id> readers_of(const settings_index& settings,
                              data_centre_id data_centre,
                              const std::vector<listed_vm>& listed);

} // namespace cranberrywood

#endif
