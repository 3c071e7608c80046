// Reads the parts of a subtree that the site file and the settings tree have in common.
#pragma once

#include "Reader.h"
#include "persimmondoor/settings/Team.h"

namespace persimmondoor::settings {

// Reads the fields "cores", "memory_gb" and "accelerators".
Resources readResources(const Reader&);

TeamSettings readTeam(const TeamName&, const Reader&);

} // namespace persimmondoor::settings
