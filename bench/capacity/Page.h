// The capacity page docs/CAPACITY.md: the needs of each role at the size that the system is designed for, computed from
// measured slopes.
#pragma once

#include "Slope.h"

namespace persimmondoor::capacity {

// A limit of the system with its need, its allowance, and the mechanism that keeps the need low.
struct Row {
    std::string limit_;
    // How the need is computed from slopes and sizes.
    std::string formula_;
    double need_ { 0 };
    double allowance_ { 0 };
    std::string unit_;
    std::string mechanism_;
    auto operator<=>(const Row&) const = default;
};

// Returns the text of the page, or NotFound if a slope is missing.
absl::StatusOr<std::string> renderPage(const Slopes&);

} // namespace persimmondoor::capacity
