// The faults of the stand-ins as JSON, for drills.
#pragma once

#include "persimmondoor/store/StandinServer.h"

namespace persimmondoor::store {

// The faults of all stand-ins.
std::string describeFaults(const PlatformStandins&);

// Sets the faults that `text` names; the others stay. Returns InvalidArgument with every fault of the text, each with
// its path; nothing is set then.
absl::Status injectFaults(const PlatformStandins&, const std::string& text);

} // namespace persimmondoor::store
