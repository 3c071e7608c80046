// The capacity page: what each role needs at the size that is designed for, worked out from measured slopes.
#pragma once

#include "Slope.h"

namespace persimmondoor::capacity {

// One limit: what is needed of it, what is allowed, and what carries it.
struct Row {
    std::string limit_;
    // How the need follows from slopes and sizes.
    std::string formula_;
    double need_ { 0 };
    double allowance_ { 0 };
    std::string unit_;
    std::string mechanism_;
    auto operator<=>(const Row&) const = default;
};

// The text of the page, or NotFound if a slope is missing.
absl::StatusOr<std::string> renderPage(const Slopes&);

} // namespace persimmondoor::capacity
