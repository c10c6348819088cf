#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_READER_CHOICE_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_READER_CHOICE_HPP

#include "core/events.hpp"
#include "settings/settings.hpp"

namespace cranberrywood {

/**
 * Returns the VMs of a data centre that read the configuration service: the
 * first few by rendezvous hashing of those that the VM list shows as staying.
 * An empty list counts as not known: then all VMs of the settings stay.
 */
std::vector<vm_id> readers_of(const settings_index& settings,
                              data_centre_id data_centre,
                              const std::vector<listed_vm>& listed);

} // namespace cranberrywood

#endif
