// The capacity pages: the needs of each role at the size that the system is designed for, computed from measured slopes.
#pragma once

#include "Slope.h"

namespace persimmondoor::capacity {

// docs/CAPACITY.md: the programs on the users' platform.
// Returns the text of the page, or NotFound if a slope is missing.
absl::StatusOr<std::string> renderPlatformPage(const Slopes&);

// docs/capacity/local.md: the programs that run without the platform.
// Returns the text of the page, or NotFound if a slope is missing.
absl::StatusOr<std::string> renderLocalPage(const Slopes&);

} // namespace persimmondoor::capacity
