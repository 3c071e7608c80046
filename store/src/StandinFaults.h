// Reads and sets the faults of the stand-ins as JSON, for tests and drills.
#pragma once

#include "persimmondoor/store/StandinServer.h"

namespace persimmondoor::store {

// Returns the faults of all stand-ins as JSON.
std::string describeFaults(const PlatformStandins&);

// Sets the injected faults that `text` names and keeps the others. If `text` is invalid, sets nothing and returns
// InvalidArgument with one line per error, each with the path of the member.
absl::Status injectFaults(const PlatformStandins&, const std::string& text);

} // namespace persimmondoor::store
